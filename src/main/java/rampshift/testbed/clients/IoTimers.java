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
     * @param delay the delay, rounded to milliseconds and at least one
     * @param action the action
     * @return the key that removes the timer before it has run
     */
    static XnioExecutor.Key runAfter(XnioIoThread thread, Span delay, Runnable action) {
        long millis = Math.max(1, Math.round(delay.millis()));
        return thread.executeAfter(action, millis, TimeUnit.MILLISECONDS);
    }
}
