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

/** All that event logs tell of one request: what its client saw, and what workers got and did for it. */
final class ClientRequest {
    /** How reports show a request of which only a connection's failure or a run is known. */
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
    private boolean ofJob;

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

    void setOfJob() {
        ofJob = true;
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

    /** Whether a client of the load sent it. */
    boolean isSent() {
        return sent != null;
    }

    /** How the client sent it; null unless {@link #isSent()}. */
    RequestSent sent() {
        return sent;
    }

    /** Whether a dispatcher submitted it for a periodic job, so that no client waits for it. */
    boolean isOfJob() {
        return ofJob;
    }

    /** Why the client's connection failed; null if it did not. */
    ConnectionFailed connectionFailure() {
        return connectionFailure;
    }

    /** Whether the client gave up waiting, and no response came later either. */
    boolean isResponseMissing() {
        return responseMissing;
    }

    /** The responses to it, in the order in which they came. */
    List<ResponseReceived> responses() {
        return responses;
    }

    /** The attempts that reached workers. */
    List<AttemptReceived> attempts() {
        return attempts;
    }

    /** The runs that workers began. */
    List<RunStarted> runs() {
        return runs;
    }

    /** Whether a worker made that result for it. */
    boolean hasResult(String result) {
        return results.contains(result);
    }

    /** Whether its only response says that it was rejected and may be sent again. */
    boolean isRejected() {
        return responses.size() == 1 && responses.get(0).isRejection();
    }

    /** Whether a second run of it would do nothing; only for one that {@link #isSent()}. */
    boolean isIdempotent() {
        return sent.effect() == Effect.IDEMPOTENT;
    }

    /** Type and identifier of it, as reports name it. */
    String describe() {
        if (responses.isEmpty() && attempts.isEmpty()) {
            return isSent() ? sent.type() + " " + sent.task() : UNKNOWN;
        }
        return (isSent() ? sent.type() : UNKNOWN_TYPE) + " " + id;
    }
}
