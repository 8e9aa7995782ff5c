package rampshift.clients;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What all connections of the I/O thread share when they read: the clock, and one buffer. */
final class ReadContext {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final Clock clock;
    private final Supplier<Span> maxUnreadTime;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

    /**
     * Creates the context.
     *
     * @param maxUnreadTime for how long, at most, what is read now may have been in the socket's buffer
     */
    ReadContext(Clock clock, Supplier<Span> maxUnreadTime) {
        this.clock = clock;
        this.maxUnreadTime = maxUnreadTime;
    }

    Moment now() {
        return clock.now();
    }

    /** Returns the earliest time at which what is read now may have arrived. */
    Moment earliestArrival() {
        return clock.now().minus(maxUnreadTime.get());
    }

    /** Returns the empty buffer for one read; its content is not kept. */
    ByteBuffer buffer() {
        return buffer.clear();
    }
}
