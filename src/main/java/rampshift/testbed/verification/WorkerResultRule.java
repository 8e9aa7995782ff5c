package rampshift.testbed.verification;

import rampshift.testbed.verification.RequestEvent.ResponseReceived;

/** The rule that a worker produced each result that a client received, for that request. */
final class WorkerResultRule {
    private final RuleTally tally = new RuleTally("results that a worker made");

    Verdict.Rule result() {
        return tally.result();
    }

    /** Checks the responses to a request of a client. */
    void check(ClientRequest request) {
        for (ResponseReceived response : request.responses()) {
            if (!response.isSuccess()) {
                continue;
            }
            tally.countCase();
            if (!request.hasResult(response.result())) {
                tally.countBreach("no worker produced the result of " + request.describe());
            }
        }
    }
}
