package rampshift.testbed.verification;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;
import rampshift.testbed.verification.RequestEvent.ConnectionFailed;
import rampshift.testbed.verification.RequestEvent.JobTaskTaken;
import rampshift.testbed.verification.RequestEvent.RequestSent;
import rampshift.testbed.verification.RequestEvent.ResponseMissing;
import rampshift.testbed.verification.RequestEvent.ResponseReceived;
import rampshift.testbed.verification.RequestEvent.RunCompleted;
import rampshift.testbed.verification.RequestEvent.RunStarted;

/** Groups events by request, in the order in which requests are first mentioned. */
final class RequestTable implements LogEventListener {
    private final Map<String, ClientRequest> requests = new LinkedHashMap<>();

    Collection<ClientRequest> requests() {
        return requests.values();
    }

    /** Returns how many attempts reached workers. */
    long attempts() {
        return requests.values().stream().mapToLong(request -> request.attempts().size()).sum();
    }

    /** Returns how many attempts reached workers beyond the first one of each request. */
    long repeatedAttempts() {
        long reached =
                requests.values().stream().filter(request -> !request.attempts().isEmpty()).count();
        return attempts() - reached;
    }

    private ClientRequest request(String id) {
        return requests.computeIfAbsent(id, ClientRequest::new);
    }

    @Override
    public void onRequestSent(RequestSent event) {
        request(event.request()).setSent(event);
    }

    @Override
    public void onJobTaskTaken(JobTaskTaken event) {
        request(event.request()).markAsJobTask();
    }

    @Override
    public void onResponseReceived(ResponseReceived event) {
        request(event.request()).addResponse(event);
    }

    @Override
    public void onConnectionFailed(ConnectionFailed event) {
        request(event.request()).setConnectionFailure(event);
    }

    @Override
    public void onResponseMissing(ResponseMissing event) {
        request(event.request()).setResponseMissing();
    }

    @Override
    public void onAttemptReceived(AttemptReceived event) {
        request(event.request()).addAttempt(event);
    }

    @Override
    public void onRunStarted(RunStarted event) {
        request(event.request()).addRun(event);
    }

    @Override
    public void onRunCompleted(RunCompleted event) {
        request(event.request()).addResult(event.result());
    }
}
