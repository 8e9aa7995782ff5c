package rampshift.discovery;

import org.xnio.XnioExecutor;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/** Counts polls that failed in a row and schedules the next one after a constant delay. It owns one timer. */
final class WatchBackoff {
    /** Failures in a row that make an outage: a single one may have lost its response to a busy start. */
    private static final int OUTAGE_FAILURES = 2;

    private final XnioExecutor thread;
    private final Span delay;
    private IoTimer timer;
    private int failures;
    private boolean failing;

    WatchBackoff(XnioExecutor thread, Span delay) {
        this.thread = thread;
        this.delay = delay;
    }

    /** Whether the last poll that ended has failed. */
    boolean isFailing() {
        return failing;
    }

    /** Whether so many have failed in a row that the agent counts as unavailable. */
    boolean isOutage() {
        return failures >= OUTAGE_FAILURES;
    }

    /** A poll has failed; true once an outage, when it begins. */
    boolean recordFailure() {
        failing = true;
        failures++;
        return failures == OUTAGE_FAILURES;
    }

    /** A poll has brought a list. */
    void recordSuccess() {
        failing = false;
        failures = 0;
    }

    /** Begins to count anew, for another agent. */
    void resetCount() {
        failures = 0;
    }

    /** Runs an attempt after the delay, unless it is canceled before. */
    void schedule(Runnable attempt) {
        timer = IoTimer.in(thread, delay, attempt);
    }

    /** Cancels the scheduled attempt, if there is one. */
    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
