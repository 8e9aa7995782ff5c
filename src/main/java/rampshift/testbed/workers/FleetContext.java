package rampshift.testbed.workers;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * The context that all emulated workers of a fleet share.
 *
 * @param plan the plan of the fleet
 * @param ioWorker provides the I/O thread, its first, on which all workers run
 * @param eventLog receives the events of workers
 * @param stallMonitor detects when that thread did not run
 * @param fencingTokens the highest fencing tokens that workers have received
 * @param taskReader reads tasks from requests
 * @param onTaskReceived runs on the I/O thread for each task that a worker receives
 */
record FleetContext(FleetPlan plan, XnioWorker ioWorker, EventLog eventLog, StallMonitor stallMonitor,
        FencingTokens fencingTokens, TaskReader taskReader, Runnable onTaskReceived) {

    private static final long MIN_DELAY_MS = 1;

    /** Returns the I/O thread on which all workers run. */
    XnioIoThread thread() {
        return ioWorker.getIoThread(0);
    }

    /** Runs an action on the I/O thread after a delay, rounded to milliseconds and at least one. */
    XnioExecutor.Key runAfter(Span delay, Runnable action) {
        long delayMs = Math.max(MIN_DELAY_MS, Math.round(delay.millis()));
        return thread().executeAfter(action, delayMs, TimeUnit.MILLISECONDS);
    }
}
