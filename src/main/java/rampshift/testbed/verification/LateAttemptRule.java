package rampshift.testbed.verification;

import java.util.concurrent.TimeUnit;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/** The rule that no attempt of a request begins after its response or after its expiry. */
final class LateAttemptRule {
    private final RuleTally tally = new RuleTally("nothing sent after answer or expiry");
    private final long slackMicros;

    /**
     * Creates the rule.
     *
     * @param slackMicros the tolerance added to each limit, in microseconds
     */
    LateAttemptRule(long slackMicros) {
        this.slackMicros = slackMicros;
    }

    Verdict.Rule result() {
        return tally.result();
    }

    /** Checks the attempts of a request of a client. */
    void check(ClientRequest request) {
        checkAgainst(request, request.sent().expiry(), "expiry");
        if (!request.responses().isEmpty() && !request.attempts().isEmpty()) {
            tally.countCase();
            checkAgainst(request, request.responses().get(0).at(), "response");
        }
    }

    private void checkAgainst(ClientRequest request, long limit, String limitName) {
        for (AttemptReceived attempt : request.attempts()) {
            long lateMicros = attempt.firstByteAt() - limit;
            if (lateMicros > slackMicros) {
                tally.countBreach(attempt.worker() + " received " + request.describe() + " "
                        + TimeUnit.MICROSECONDS.toMillis(lateMicros) + " ms after its " + limitName);
            }
        }
    }
}
