package rampshift.testbed.clients;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.time.Span;

/** Timers on an I/O thread. */
final class IoTimers {
    private IoTimers() {}

    /**
     * Runs an action once on the I/O thread.
     *
     * @param thread the I/O thread
     * @param delay when, from now; rounded to the millisecond, at least one
     * @param action what to run
     * @return by which the timer can be removed before it has run
     */
    static XnioExecutor.Key runAfter(XnioIoThread thread, Span delay, Runnable action) {
        long millis = Math.max(1, Math.round(delay.millis()));
        return thread.executeAfter(action, millis, TimeUnit.MILLISECONDS);
    }
}
