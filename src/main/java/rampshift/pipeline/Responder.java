package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.time.Span;

/** Sends the one final response of a task to its client, and counts how tasks end. */
public final class Responder {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Span MIN_RETRY_AFTER = Span.ofMillis(1);
    private static final byte[] EMPTY_BODY = {};

    private final Counters counters;

    /** Creates a responder that adds to the given counters. */
    public Responder(Counters counters) {
        this.counters = counters;
    }

    void sendResult(InFlightTask task, byte[] result) {
        respond(task, Counters.Name.TASKS_FINISHED, OK, null, result);
    }

    /**
     * Rejects a task that never ran or may run again.
     *
     * @param retryAfter the delay after which the client may retry; zero to send no Retry-After
     */
    void sendRejection(InFlightTask task, Span retryAfter) {
        String seconds = retryAfterSeconds(retryAfter);
        respond(task, Counters.Name.TASKS_REJECTED, SERVICE_UNAVAILABLE, seconds, EMPTY_BODY);
    }

    /** Returns the value of Retry-After for a delay; null if the delay is too short to be written. */
    static String retryAfterSeconds(Span retryAfter) {
        return MIN_RETRY_AFTER.longerThan(retryAfter) ? null : retryAfter.seconds();
    }

    void sendFailure(InFlightTask task) {
        respond(task, Counters.Name.TASKS_FAILED, GATEWAY_TIMEOUT, null, EMPTY_BODY);
    }

    void recordClientLeft(InFlightTask task) {
        if (task.markAnswered()) {
            counters.add(Counters.Name.CLIENTS_LEFT);
        }
    }

    private void respond(InFlightTask task, Counters.Name counter, int status, String retryAfterSeconds,
            byte[] body) {
        if (task.markAnswered()) {
            boolean sent = task.request().respond(status, retryAfterSeconds, body);
            counters.add(sent ? counter : Counters.Name.CLIENTS_LEFT);
        }
    }
}
