package rampshift.workers;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The request of one attempt at a task.
 *
 * @param taskId the id that the worker repeats in its messages about the task
 * @param nonIdempotent whether the task must not run twice; the attempt then avoids, at the price of a
 *     delay, that it is unknown whether the task ran
 * @param deadline the time from which on nothing of the request may be written
 * @param message creates the whole HTTP request; called just before it is written
 * @param timeout the time after which the attempt is canceled, counted from its start; zero for no timeout
 */
public record AttemptRequest(String taskId, boolean nonIdempotent, Moment deadline,
        Supplier<ByteBuffer[]> message,
        Span timeout) {
}
