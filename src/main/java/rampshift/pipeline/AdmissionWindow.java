package rampshift.pipeline;

import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.NextTick;
import rampshift.time.Span;

/**
 * Limits the time that new tasks may take of the I/O thread between two polls of its sockets, once the thread
 * has been overloaded for some time. Tasks beyond the limit are rejected at once: if they were admitted, the
 * responses to earlier tasks would stay unread until none of these met its deadline. A shorter burst is
 * admitted whole, even by a process that has just started or waits for a CPU core.
 *
 * <p>A window begins with the first task after a poll and ends before the next poll.
 */
public final class AdmissionWindow {
    private static final Span MAX_WINDOW = Span.ofMillis(20);
    /**
     * How long windows may exceed {@link #MAX_WINDOW} before tasks are rejected: about as long as a process
     * that has just started needs to keep up with its load.
     */
    private static final Span MAX_TOLERATED_OVERLOAD = Span.ofMillis(1000);

    private final XnioIoThread thread;
    private final Clock clock;
    private final NextTick nextTick;
    /** When the first task since the last poll arrived; null if none has. */
    private Moment startedAt;
    /** When a window exceeded the limit for the first and the last time in the latest overload. */
    private Moment overloadedSince;
    private Moment lastExceededAt;
    /** Whether the current window has exceeded the limit. */
    private boolean limitExceeded;
    /** Whether no more tasks are admitted before the next poll. */
    private boolean rejecting;
    /** Whether a window has ended within the limit since the last one that exceeded it. */
    private boolean hasCaughtUp = true;

    /**
     * Creates a window, whose methods are to be called on this thread.
     *
     * @throws IOException if no file descriptors are left
     */
    public AdmissionWindow(XnioIoThread thread, Clock clock) throws IOException {
        this.thread = thread;
        this.clock = clock;
        nextTick = new NextTick(thread);
    }

    /** Returns whether one more task may be admitted before the next poll of the sockets. */
    public boolean isOpen() {
        Moment now = clock.now();
        startWindow(now);
        rejecting = now.since(startedAt).longerThan(MAX_WINDOW) && isOverloaded(now);
        return !rejecting;
    }

    /**
     * Starts a window unless one is in progress. XNIO runs a task that is executed on the thread after all
     * ready sockets have been handled and before the next poll, and that task ends the window. If the event
     * of a socket ended it instead, clients whose sockets are handled before that one would be rejected at
     * every poll.
     */
    private void startWindow(Moment now) {
        if (startedAt == null) {
            startedAt = now;
            thread.execute(this::onReadySocketsHandled);
        }
    }

    /** Returns whether a task was rejected since the last poll; all others are rejected until the next. */
    boolean isRejecting() {
        return rejecting;
    }

    /**
     * Records that the current window exceeds the limit, and returns whether the overload has lasted for
     * longer than {@link #MAX_TOLERATED_OVERLOAD}. The overload ends if a window ends within the limit and
     * none exceeds it for that time. Time alone does not end it, since handling the responses to admitted
     * tasks may take as long.
     */
    private boolean isOverloaded(Moment now) {
        if (hasCaughtUp
                && (lastExceededAt == null || now.since(lastExceededAt).longerThan(MAX_TOLERATED_OVERLOAD))) {
            overloadedSince = now;
        }
        hasCaughtUp = false;
        limitExceeded = true;
        lastExceededAt = now;
        return now.since(overloadedSince).longerThan(MAX_TOLERATED_OVERLOAD);
    }

    private void onReadySocketsHandled() {
        startedAt = null;
        rejecting = false;
        if (limitExceeded) {
            limitExceeded = false;
            // Starts a window at the next poll even without a task, to detect that the thread has caught up.
            nextTick.run(() -> startWindow(clock.now()));
        } else {
            hasCaughtUp = true;
        }
    }

    /** Releases the file descriptors. */
    public void close() {
        nextTick.close();
    }
}
