package rampshift.testbed.clients;

import java.nio.charset.StandardCharsets;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * The HTTP/1.1 request that submits a task to a dispatcher.
 *
 * @param task the task
 * @param attemptId the identifier of this attempt
 * @param attemptNumber 0 for the first attempt, above 0 for retries
 * @param timeout how long the client waits for the response
 */
record ClientTaskRequest(ClientTask task, String attemptId, int attemptNumber, Span timeout) {

    private static final int HEAD_CAPACITY = 320;
    private static final int WORK_CAPACITY = 40;
    private static final char PADDING = '.';

    /** Returns the bytes of the request. */
    byte[] encode() {
        String body = body();
        StringBuilder request = new StringBuilder(HEAD_CAPACITY + body.length());
        request.append("POST ").append(path()).append(" HTTP/1.1\r\n");
        appendField(request, "Host", "fleet");
        appendField(request, "X-Txn", attemptId);
        appendField(request, "X-Lane", task.type().name());
        appendField(request, "X-Remaining", timeout.seconds());
        if (task.type().effect() == FleetPlan.TrafficType.Effect.FINGERPRINTED) {
            appendField(request, "Idempotency-Key", task.idempotencyKey());
        }
        if (attemptNumber > 0) {
            appendField(request, "X-Resent", "1");
        }
        appendField(request, "X-Labels", "slots=" + task.type().slots() + ",memory=" + task.type().memory());
        appendField(request, "Content-Length", String.valueOf(body.length()));
        request.append("\r\n").append(body);
        return request.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private String path() {
        Arrival arrival = task.arrival();
        return arrival.hasObject() ? "/api/" + Integer.toHexString(arrival.object()) : "/api";
    }

    /** Returns the work for the emulated worker, padded to the body size of the type. */
    private String body() {
        FleetPlan.TrafficType type = task.type();
        StringBuilder body = new StringBuilder(type.body() + WORK_CAPACITY);
        body.append("work=").append(task.arrival().work().micros());
        body.append(',').append(type.slots());
        body.append(',').append(type.memory()).append(';');
        while (body.length() < type.body()) {
            body.append(PADDING);
        }
        return body.toString();
    }

    private static void appendField(StringBuilder request, String name, String value) {
        request.append(name).append(": ").append(value).append("\r\n");
    }
}
