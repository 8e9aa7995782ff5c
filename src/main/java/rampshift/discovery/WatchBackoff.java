package rampshift.discovery;

import org.xnio.XnioExecutor;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/** Counts consecutive failed polls, and schedules the next poll after a constant delay. Owns one timer. */
final class WatchBackoff {
    /**
     * Number of consecutive failures that count as an outage. A single poll may fail because its response was
     * not read in time while the process was busy starting.
     */
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

    /** Returns whether the last completed poll has failed. */
    boolean isFailing() {
        return failing;
    }

    /** Returns whether enough consecutive polls have failed for the agent to count as unavailable. */
    boolean isOutage() {
        return failures >= OUTAGE_FAILURES;
    }

    /** Records a failed poll. Returns true once per outage, when it begins. */
    boolean recordFailure() {
        failing = true;
        failures++;
        return failures == OUTAGE_FAILURES;
    }

    /** Records a poll that has received a list. */
    void recordSuccess() {
        failing = false;
        failures = 0;
    }

    /** Resets the number of failures, for another agent. */
    void resetCount() {
        failures = 0;
    }

    /** Schedules an attempt after the delay, unless it is canceled before. */
    void schedule(Runnable attempt) {
        timer = IoTimer.schedule(thread, delay, attempt);
    }

    /** Cancels the scheduled attempt, if there is one. */
    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
