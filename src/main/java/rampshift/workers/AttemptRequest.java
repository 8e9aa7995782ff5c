package rampshift.workers;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * What is sent to a worker in one attempt at a task.
 *
 * @param taskId the id that the worker repeats in its messages about the task
 * @param nonIdempotent whether the task must not run twice, so that it should be known whenever possible
 *     that an attempt did not run
 * @param deadline when nothing of the request may be written any more
 * @param message makes the whole HTTP request; called just before it is written
 * @param timeout when the attempt is cancelled, counted from its start; zero for never
 */
public record AttemptRequest(String taskId, boolean nonIdempotent, Moment deadline,
        Supplier<ByteBuffer[]> message,
        Span timeout) {
}
