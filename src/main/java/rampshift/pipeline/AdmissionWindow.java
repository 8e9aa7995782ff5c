package rampshift.pipeline;

import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.NextTick;
import rampshift.time.Span;

/**
 * Bounds for how long new tasks may keep the I/O thread between two polls of its sockets. What comes beyond
 * that is rejected at once: admitted, it would keep the responses to earlier tasks unread, until none of them
 * ends in its time.
 */
public final class AdmissionWindow {
    private static final Span MAX_LENGTH = Span.ofMillis(20);

    private final Clock clock;
    private final NextTick nextTick;
    /** When the first task came since the last poll; null where none has. */
    private Moment openedAt;

    /**
     * Creates a window, whose methods are to be called on this thread.
     *
     * @throws IOException if there are no descriptors left
     */
    public AdmissionWindow(XnioIoThread thread, Clock clock) throws IOException {
        this.clock = clock;
        nextTick = new NextTick(thread);
    }

    /** Returns whether one more task may be admitted before the sockets are polled. */
    boolean isOpen() {
        Moment now = clock.now();
        if (openedAt == null) {
            openedAt = now;
            nextTick.run(() -> openedAt = null);
        }
        return !now.since(openedAt).longerThan(MAX_LENGTH);
    }

    /** Releases the descriptors. */
    public void close() {
        nextTick.close();
    }
}
