package rampshift.time;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * A timer on an I/O thread that fires at most once, and never after it was canceled. XNIO moves all due
 * timers to its task queue together, and runs one of them even if another removes it. With plain XNIO timers,
 * an endpoint watch failed at the timeout of a poll that had just been answered, and the delayed last byte of
 * a canceled attempt was still handled.
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
     * Runs an action on the thread after a delay, up to a millisecond early. This method and {@link #cancel}
     * must be called on that thread.
     */
    public static IoTimer schedule(XnioExecutor thread, Span delay, Runnable action) {
        return new IoTimer(thread, delay.micros(), TimeUnit.MICROSECONDS, action);
    }

    /**
     * Runs an action on the thread after a delay, never early: the delay is rounded up to whole milliseconds,
     * since XNIO rounds it down.
     */
    public static IoTimer notBefore(XnioExecutor thread, Span delay, Runnable action) {
        return new IoTimer(thread, ceilMillis(delay), TimeUnit.MILLISECONDS, action);
    }

    /**
     * Runs an action after a delay, and after the input has been handled that had arrived at the sockets of
     * the thread by then. It is meant for timeouts that such input ends: its handler cancels the timer.
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

    /** Cancels the timer, so that its action doesn't run. Has no effect after the timer has fired. */
    public void cancel() {
        action = null;
        key.remove();
    }
}
