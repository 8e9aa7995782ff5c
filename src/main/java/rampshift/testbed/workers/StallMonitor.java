package rampshift.testbed.workers;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Detects when the workers' I/O thread did not run, as on a machine with other load. Bytes that the thread
 * reads right after a stall may have been sent at any time since the stall began, and must not count as sent
 * late. Used on that thread only.
 */
final class StallMonitor {
    private static final Span TICK_INTERVAL = Span.ofMillis(5);
    /** A longer time between two ticks counts as a stall. */
    private static final Span MIN_STALL = Span.ofMillis(20);
    /** The time after a stall in which the thread may still read bytes that arrived during the stall. */
    private static final Span CATCH_UP_TIME = Span.ofMillis(20);

    private final XnioIoThread thread;
    private XnioExecutor.Key nextTick;
    private Moment lastTick;
    private Moment stallStart;
    private Moment stallEnd;

    /** Starts to monitor a thread; called on that thread. */
    StallMonitor(XnioIoThread thread) {
        this.thread = thread;
        tick();
    }

    private void tick() {
        Moment now = EventClock.now();
        if (lastTick != null && now.since(lastTick).longerThan(MIN_STALL)) {
            stallStart = lastTick;
            stallEnd = now;
        }
        lastTick = now;
        nextTick = thread.executeAfter(this::tick, TICK_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }

    void stop() {
        nextTick.remove();
    }

    /** Returns the earliest time at which bytes that were read at a given time may have been sent. */
    Moment earliestSendTime(Moment readAt) {
        if (readAt.since(lastTick).longerThan(MIN_STALL)) {
            return lastTick;
        }
        boolean isCatchingUp = stallEnd != null && !readAt.before(stallStart)
                && CATCH_UP_TIME.longerThan(readAt.since(stallEnd));
        return isCatchingUp ? stallStart : readAt;
    }
}
