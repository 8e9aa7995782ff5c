package rampshift.jobs.host;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.time.Span;

/**
 * One attempt at a task of a periodic job.
 *
 * @param settings settings of its job
 * @param object index of its object
 * @param id idempotency key
 * @param transactionId unique id of the attempt
 * @param token fencing token of the job's lease
 */
record TaskRequest(PeriodicJobSettings settings, int object, String id, String transactionId, long token) {

    private static final Span MIN_REMAINING = Span.ofMillis(1);

    /** Encodes the request; remaining is the time that the task may take. */
    ByteBuffer encode(Span remaining) {
        byte[] body = settings.body(object).getBytes(StandardCharsets.UTF_8);
        String head = "POST " + settings.target(object) + " HTTP/1.1\r\nHost: duty\r\nX-Txn: " + transactionId
                + "\r\nX-Lane: " + settings.trafficType() + "\r\nX-Remaining: "
                + remaining.orLonger(MIN_REMAINING).seconds() + "\r\nIdempotency-Key: " + id
                + "\r\nRampshift-Token: " + settings.name() + " " + token + "\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(headBytes.length + body.length).put(headBytes).put(body).flip();
    }
}
