package rampshift.pipeline;

import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Detects by a periodic heartbeat that the I/O thread was stalled: suspended, or without CPU time.
 *
 * <p>Input that is read after a stall may have been in the socket buffer throughout the stall. The time limit
 * of a task counts from the arrival of its request: counted from when the request was read, a dispatcher that
 * was suspended for 3 s forwarded tasks 0.2 s after their deadlines.
 */
public final class StallDetector {
    private static final Span HEARTBEAT_INTERVAL = Span.ofMillis(50);
    /** How late a heartbeat may be before the thread is considered stalled. */
    private static final Span MAX_LATENESS = Span.ofMillis(50);

    private final XnioIoThread thread;
    private final Clock clock;
    private Moment lastHeartbeat;
    /** When the last heartbeat before a stall was; null once a heartbeat is in time again. */
    private Moment stalledSince;
    private IoTimer timer;

    /** Starts the heartbeat. */
    public StallDetector(XnioIoThread thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
        lastHeartbeat = clock.now();
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        timer = IoTimer.schedule(thread, HEARTBEAT_INTERVAL, this::heartbeat);
    }

    private void heartbeat() {
        Moment now = clock.now();
        // Until a heartbeat is in time again, input that is read may have arrived before or during the stall.
        stalledSince = isLate(now) ? lastHeartbeat : null;
        lastHeartbeat = now;
        scheduleHeartbeat();
    }

    private boolean isLate(Moment now) {
        return now.since(lastHeartbeat).longerThan(HEARTBEAT_INTERVAL.plus(MAX_LATENESS));
    }

    /**
     * Returns the longest time for which input that is read now may have been unread; zero if the thread is
     * not stalled.
     */
    public Span maxUnreadTime() {
        Moment now = clock.now();
        Moment since = isLate(now) ? lastHeartbeat : stalledSince;
        return since == null ? Span.ZERO : now.since(since);
    }

    /** Stops the heartbeat. */
    public void close() {
        timer.cancel();
    }
}
