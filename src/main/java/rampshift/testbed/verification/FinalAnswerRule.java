package rampshift.testbed.verification;

import java.util.concurrent.TimeUnit;
import rampshift.testbed.verification.LogEvent.UnexpectedBytes;
import rampshift.testbed.verification.RequestEvent.ConnectionFailed;
import rampshift.testbed.verification.RequestEvent.RequestSent;
import rampshift.testbed.verification.RequestEvent.ResponseReceived;

/**
 * The rule that each request of a client gets exactly one response, before it expires. A missing response is
 * excused if the dispatcher was killed, suspended or down; a late one only if the dispatcher was suspended.
 */
final class FinalAnswerRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("one final answer, in time");
    private final DispatcherOutages outages;
    private final long slackMicros;

    /**
     * Creates the rule.
     *
     * @param slackMicros the tolerance added to each limit, in microseconds
     */
    FinalAnswerRule(DispatcherOutages outages, long slackMicros) {
        this.outages = outages;
        this.slackMicros = slackMicros;
    }

    Verdict.Rule result() {
        return tally.result();
    }

    @Override
    public void onUnexpectedBytes(UnexpectedBytes event) {
        tally.countBreach("unexpected bytes from dispatcher " + event.dispatcher() + " at " + event.at());
    }

    /** Checks a request. All outages must be recorded before. */
    void check(ClientRequest request) {
        if (request.isJobTask()) {
            return;
        }
        if (!request.isSent()) {
            tally.countBreach(
                    "a worker or client received a request that no client sent: " + request.describe());
            return;
        }
        tally.countCase();
        int responses = request.responses().size();
        if (responses > 1) {
            tally.countBreach(responses + " responses to " + request.describe());
        }
        if (responses == 0) {
            checkMissingResponse(request);
        }
        request.responses().forEach(response -> checkInTime(request, response));
    }

    private void checkMissingResponse(ClientRequest request) {
        ConnectionFailed failure = request.connectionFailure();
        if (!request.isResponseMissing() && failure == null) {
            tally.countBreach("no outcome logged for " + request.describe());
        } else if (!isMissingExcused(request)) {
            tally.countBreach("no response to " + request.describe()
                    + (request.isResponseMissing() ? "" : ", " + failure.reason()));
        }
    }

    private void checkInTime(ClientRequest request, ResponseReceived response) {
        long expiry = request.sent().expiry();
        if (response.at() > expiry + slackMicros && !wasSuspendedAtExpiry(request)) {
            tally.countBreach("a response to " + request.describe() + " "
                    + TimeUnit.MICROSECONDS.toMillis(response.at() - expiry) + " ms after its expiry");
        }
    }

    private boolean isMissingExcused(ClientRequest request) {
        RequestSent sent = request.sent();
        ConnectionFailed failure = request.connectionFailure();
        long end = failure == null ? sent.expiry() : failure.at();
        // The client has to retry what a dispatcher held when it was killed.
        return outages.wasKilled(sent.dispatcher(), sent.at() - slackMicros, end + slackMicros)
                || wasSuspendedAtExpiry(request)
                || (failure != null && failedDuringDowntime(request, failure));
    }

    /** A suspension excuses a late or missing response, but not an attempt after the expiry. */
    private boolean wasSuspendedAtExpiry(ClientRequest request) {
        RequestSent sent = request.sent();
        return outages.wasSuspendedAtExpiry(sent.dispatcher(), sent.at(), sent.expiry(), slackMicros);
    }

    /**
     * Returns whether the connection failed because the dispatcher was shut down or killed and its next
     * process did not listen yet, so that no dispatcher received the request. A connection that is reset or
     * closed by the peer counts only if the request was sent after the outage began and reached no worker;
     * otherwise a response is required.
     */
    private boolean failedDuringDowntime(ClientRequest request, ConnectionFailed failure) {
        int dispatcher = request.sent().dispatcher();
        return switch (failure.reason()) {
            case ConnectionFailed.UNREACHABLE -> outages.wasDown(dispatcher, failure.at());
            case ConnectionFailed.RESET, ConnectionFailed.CLOSED -> request.attempts().isEmpty()
                    && outages.wasDownSince(dispatcher, request.sent().at(), failure.at());
            default -> false;
        };
    }
}
