package rampshift.testbed.verification;

import java.util.concurrent.TimeUnit;
import rampshift.testbed.verification.LogEvent.UnexpectedBytes;
import rampshift.testbed.verification.RequestEvent.ConnectionFailed;
import rampshift.testbed.verification.RequestEvent.RequestSent;
import rampshift.testbed.verification.RequestEvent.ResponseReceived;

/**
 * The rule that each request of a client gets one response, before it expires. What a dispatcher could not
 * answer because its process was killed, suspended or not up yet is excused.
 */
final class FinalAnswerRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("one final answer, in time");
    private final DispatcherOutages outages;
    private final long slackMicros;

    /**
     * The rule, before any request.
     *
     * @param slackMicros how much later than a limit something may happen, in microseconds
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
        tally.countBreach("bytes of no task from dispatcher " + event.dispatcher() + " at " + event.at());
    }

    /** Checks a request; all outages are to be known. */
    void check(ClientRequest request) {
        if (request.isOfJob()) {
            return;
        }
        if (!request.isSent()) {
            tally.countBreach(
                    "a task that no client sent reached a worker or a client: " + request.describe());
            return;
        }
        tally.countCase();
        int responses = request.responses().size();
        if (responses > 1) {
            tally.countBreach(responses + " answers to " + request.describe());
        }
        if (responses == 0) {
            checkMissingResponse(request);
        }
        request.responses().forEach(response -> checkInTime(request, response));
    }

    private void checkMissingResponse(ClientRequest request) {
        ConnectionFailed failure = request.connectionFailure();
        if (!request.isResponseMissing() && failure == null) {
            tally.countBreach("no end of " + request.describe());
        } else if (!isMissingExcused(request)) {
            tally.countBreach("no answer to " + request.describe()
                    + (request.isResponseMissing() ? "" : ", " + failure.reason()));
        }
    }

    private void checkInTime(ClientRequest request, ResponseReceived response) {
        long expiry = request.sent().expiry();
        if (response.at() > expiry + slackMicros && !wasSuspendedAtExpiry(request)) {
            tally.countBreach("an answer to " + request.describe() + " "
                    + TimeUnit.MICROSECONDS.toMillis(response.at() - expiry) + " ms past its expiry");
        }
    }

    private boolean isMissingExcused(ClientRequest request) {
        RequestSent sent = request.sent();
        ConnectionFailed failure = request.connectionFailure();
        long end = failure == null ? sent.expiry() : failure.at();
        // What a dispatcher held when it was killed is the client's to send again.
        return outages.wasKilled(sent.dispatcher(), sent.at() - slackMicros, end + slackMicros)
                || wasSuspendedAtExpiry(request)
                || (failure != null && failedForDowntime(request, failure));
    }

    /** This excuses a late response or none; it excuses no attempt after the expiry. */
    private boolean wasSuspendedAtExpiry(ClientRequest request) {
        RequestSent sent = request.sent();
        return outages.wasSuspendedAtExpiry(sent.dispatcher(), sent.at(), sent.expiry(), slackMicros);
    }

    /**
     * Whether the connection failed because the dispatcher was told to end or was killed, and its successor
     * was not up yet, so that nobody took the request and nobody owes a response. A request that was sent
     * after the end of the process may also find its connection reset, or closed by the peer. To what was
     * sent before, or reached a worker, a response is owed.
     */
    private boolean failedForDowntime(ClientRequest request, ConnectionFailed failure) {
        int dispatcher = request.sent().dispatcher();
        return switch (failure.reason()) {
            case ConnectionFailed.UNREACHABLE -> outages.wasDown(dispatcher, failure.at());
            case ConnectionFailed.RESET, ConnectionFailed.CLOSED -> request.attempts().isEmpty()
                    && outages.wasDownSince(dispatcher, request.sent().at(), failure.at());
            default -> false;
        };
    }
}
