package rampshift.pipeline;

import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.NextTick;
import rampshift.time.Span;

/**
 * Bounds for how long new tasks may keep the I/O thread between two polls of its sockets, once it has been
 * behind for some time. What comes beyond that is rejected at once: admitted, it would keep the responses to
 * earlier tasks unread, until none of them ends in its time. A burst that is over before is admitted whole,
 * also by a process that is cold or waits for a core.
 */
public final class AdmissionWindow {
    private static final Span MAX_LENGTH = Span.ofMillis(20);
    /** A cold process takes about as long until it keeps up. */
    private static final Span TOLERATED_OVERLOAD = Span.ofMillis(1000);

    private final XnioIoThread thread;
    private final Clock clock;
    private final NextTick nextTick;
    /** When the first task came since the last poll; null where none has. */
    private Moment openedAt;
    /** When a window was first, and last, too long in the present overload. */
    private Moment overloadedSince;
    private Moment lastTooLongAt;
    /** The present window is too long. */
    private boolean tooLong;
    /** No more tasks are admitted before the next poll. */
    private boolean shut;
    /** Between two polls since then, tasks took less than a window. */
    private boolean hasCaughtUp = true;

    /**
     * Creates a window, whose methods are to be called on this thread.
     *
     * @throws IOException if there are no descriptors left
     */
    public AdmissionWindow(XnioIoThread thread, Clock clock) throws IOException {
        this.thread = thread;
        this.clock = clock;
        nextTick = new NextTick(thread);
    }

    /** Returns whether one more task may be admitted before the sockets are polled. */
    public boolean isOpen() {
        Moment now = clock.now();
        open(now);
        shut = now.since(openedAt).longerThan(MAX_LENGTH) && isOverloaded(now);
        return !shut;
    }

    /**
     * The thread runs what it is given once it has gone through the sockets that were ready, and before it
     * polls again. Told by a socket of its own, clients that came before that one at each poll were turned
     * away at each.
     */
    private void open(Moment now) {
        if (openedAt == null) {
            openedAt = now;
            thread.execute(this::onSocketsDone);
        }
    }

    /** Returns whether a task has been turned away since the last poll: so is any other until the next. */
    boolean isShut() {
        return shut;
    }

    /**
     * Asked in a window that is too long: whether such have come again and again for longer than a burst.
     * Time alone does not end an overload: the responses to what was admitted may take as long.
     */
    private boolean isOverloaded(Moment now) {
        if (hasCaughtUp
                && (lastTooLongAt == null || now.since(lastTooLongAt).longerThan(TOLERATED_OVERLOAD))) {
            overloadedSince = now;
        }
        hasCaughtUp = false;
        tooLong = true;
        lastTooLongAt = now;
        return now.since(overloadedSince).longerThan(TOLERATED_OVERLOAD);
    }

    private void onSocketsDone() {
        openedAt = null;
        shut = false;
        if (tooLong) {
            tooLong = false;
            nextTick.run(() -> open(clock.now())); // tells whether the next poll comes sooner
        } else {
            hasCaughtUp = true;
        }
    }

    /** Releases the descriptors. */
    public void close() {
        nextTick.close();
    }
}
