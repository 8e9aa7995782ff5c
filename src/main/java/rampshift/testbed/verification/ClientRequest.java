package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;
import rampshift.testbed.verification.RequestEvent.ConnectionFailed;
import rampshift.testbed.verification.RequestEvent.RequestSent;
import rampshift.testbed.verification.RequestEvent.ResponseReceived;
import rampshift.testbed.verification.RequestEvent.RunStarted;

/**
 * What the event logs show of one request: what its client sent and received, and what workers did for it.
 */
final class ClientRequest {
    /** Describes a request for which no sending, response or attempt was logged. */
    private static final String UNKNOWN = "null null";
    private static final String UNKNOWN_TYPE = "?";

    private final String id;
    private final List<ResponseReceived> responses = new ArrayList<>();
    private final List<AttemptReceived> attempts = new ArrayList<>();
    private final List<RunStarted> runs = new ArrayList<>();
    private final Set<String> results = new HashSet<>();
    private RequestSent sent;
    private ConnectionFailed connectionFailure;
    private boolean responseMissing;
    private boolean jobTask;

    ClientRequest(String id) {
        this.id = id;
    }

    void setSent(RequestSent event) {
        sent = event;
    }

    void setConnectionFailure(ConnectionFailed event) {
        connectionFailure = event;
    }

    void setResponseMissing() {
        responseMissing = true;
    }

    void markAsJobTask() {
        jobTask = true;
    }

    void addResponse(ResponseReceived event) {
        responses.add(event);
    }

    void addAttempt(AttemptReceived event) {
        attempts.add(event);
    }

    void addRun(RunStarted event) {
        runs.add(event);
    }

    void addResult(String result) {
        results.add(result);
    }

    /** Returns whether a client of the load sent it. */
    boolean isSent() {
        return sent != null;
    }

    /** Returns how the client sent it; null unless {@link #isSent()}. */
    RequestSent sent() {
        return sent;
    }

    /** Returns whether a dispatcher submitted it for a periodic job, so that no client waits for it. */
    boolean isJobTask() {
        return jobTask;
    }

    /** Returns how the client's connection failed; null if it did not. */
    ConnectionFailed connectionFailure() {
        return connectionFailure;
    }

    /** Returns whether the client stopped waiting without a response. */
    boolean isResponseMissing() {
        return responseMissing;
    }

    /** Returns the responses to it in the order of arrival. */
    List<ResponseReceived> responses() {
        return responses;
    }

    /** Returns the attempts that reached workers. */
    List<AttemptReceived> attempts() {
        return attempts;
    }

    /** Returns the runs that workers started. */
    List<RunStarted> runs() {
        return runs;
    }

    /** Returns whether a worker produced that result for it. */
    boolean hasResult(String result) {
        return results.contains(result);
    }

    /** Returns whether its only response is a rejection that allows a retry. */
    boolean isRejected() {
        return responses.size() == 1 && responses.get(0).isRejection();
    }

    /** Returns whether a second run has no further effect; only for a request that {@link #isSent()}. */
    boolean isIdempotent() {
        return sent.effect() == Effect.IDEMPOTENT;
    }

    /**
     * Returns the traffic type and an identifier for reports: the identifier of the task if the request got
     * no response and reached no worker, else that of the request.
     */
    String describe() {
        if (responses.isEmpty() && attempts.isEmpty()) {
            return isSent() ? sent.type() + " " + sent.task() : UNKNOWN;
        }
        return (isSent() ? sent.type() : UNKNOWN_TYPE) + " " + id;
    }
}
