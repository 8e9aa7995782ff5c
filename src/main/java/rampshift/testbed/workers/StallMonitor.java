package rampshift.testbed.workers;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Detects when the workers' I/O thread did not run, as on a machine with other load. What the thread reads
 * right after a stall may have been sent at any time since its start, and must not count as sent late. It is
 * used on that thread alone.
 */
final class StallMonitor {
    private static final Span TICK_INTERVAL = Span.ofMillis(5);
    /** The time between two ticks beyond which the thread stalled. */
    private static final Span MIN_STALL = Span.ofMillis(20);
    /** How long after a stall the thread may still read what arrived in it. */
    private static final Span CATCH_UP = Span.ofMillis(20);

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

    /** The earliest time at which bytes that are read now may have been sent. */
    Moment earliestSendTime(Moment readAt) {
        if (readAt.since(lastTick).longerThan(MIN_STALL)) {
            return lastTick;
        }
        boolean catchesUp = stallEnd != null && !readAt.before(stallStart)
                && CATCH_UP.longerThan(readAt.since(stallEnd));
        return catchesUp ? stallStart : readAt;
    }
}
