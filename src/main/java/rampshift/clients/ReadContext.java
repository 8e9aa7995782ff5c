package rampshift.clients;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The clock and the read buffer that all connections of the I/O thread share. */
final class ReadContext {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final Clock clock;
    private final Supplier<Span> maxUnreadTime;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

    /**
     * Creates the context.
     *
     * @param maxUnreadTime the longest time for which bytes that are read now may have been in the socket's
     *     buffer
     */
    ReadContext(Clock clock, Supplier<Span> maxUnreadTime) {
        this.clock = clock;
        this.maxUnreadTime = maxUnreadTime;
    }

    Moment now() {
        return clock.now();
    }

    /** Returns the earliest time at which bytes that are read now may have arrived. */
    Moment earliestArrival() {
        return clock.now().minus(maxUnreadTime.get());
    }

    /** Returns the shared buffer, cleared, for one read; its content is overwritten by the next read. */
    ByteBuffer buffer() {
        return buffer.clear();
    }
}
