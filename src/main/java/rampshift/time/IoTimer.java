package rampshift.time;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * A timer on an I/O thread that never fires once it is canceled, nor twice. XNIO hands all timers that are
 * due to its queue in one go, and one that another of them removes runs all the same: a watch was failed
 * for the timeout of a poll that had just been answered, and the last byte of an attempt was looked after
 * that had been canceled.
 */
public final class IoTimer {
    private static final long MICROS_PER_MILLI = 1000;

    private final XnioExecutor.Key key;
    private Runnable action;

    private IoTimer(XnioExecutor thread, long delay, TimeUnit unit, Runnable action) {
        this.action = action;
        key = thread.executeAfter(this::fire, delay, unit);
    }

    /**
     * Runs an action on the thread after a delay, up to a millisecond early. To be called, as
     * {@link #cancel} is, on that thread.
     */
    public static IoTimer in(XnioExecutor thread, Span delay, Runnable action) {
        return new IoTimer(thread, delay.micros(), TimeUnit.MICROSECONDS, action);
    }

    /** The same, but never early: XNIO drops what is left of a millisecond. */
    public static IoTimer notBefore(XnioExecutor thread, Span delay, Runnable action) {
        return new IoTimer(thread, ceilMillis(delay), TimeUnit.MILLISECONDS, action);
    }

    /**
     * Runs an action after a delay, once what had arrived at the thread's sockets by then has been handed on.
     * For a timeout that such input would end: whoever handles it cancels the timer.
     */
    public static IoTimer timeout(XnioExecutor thread, Span delay, ReadBarrier barrier, Runnable action) {
        IoTimer timer = new IoTimer(thread, delay.micros(), TimeUnit.MICROSECONDS, null);
        timer.action = () -> {
            timer.action = action;
            barrier.run(timer::fire);
        };
        return timer;
    }

    static long ceilMillis(Span span) {
        return (Math.max(0, span.micros()) + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    private void fire() {
        Runnable current = action;
        action = null;
        if (current != null) {
            current.run();
        }
    }

    /** Keeps the action from running. May be called again, and after the timer has fired. */
    public void cancel() {
        action = null;
        key.remove();
    }
}
