package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** One attempt at a task: a copy of it that was sent to a worker. */
final class Attempt {
    final Task task;
    final int number;
    final Worker worker;
    final Moment sentAt;
    final Span predictedWait;
    /** The predicted wait and the predicted run. */
    final Span predictedDuration;
    /** When the worker started to run the attempt; null until that is observed. */
    Moment startedAt;
    Moment progressAt;
    /** The share of the work that is done, 0 to 1, by the last progress message. */
    double progress;
    /** Whether it was sent on a load report of an idle slot that is neither confirmed nor refuted yet. */
    boolean sentOnIdleReport;
    /** Whether its progress messages are overdue. */
    boolean lost;
    /**
     * The cost for which slow-start credit was earned when it was sent, in mean runs of one slot; 0 if
     * another attempt at the task was open.
     */
    double creditedCostMeanRuns;
    boolean ended;
    boolean neverRan;
    boolean cancelled;

    Attempt(Task task, Worker worker, Moment sentAt, Span predictedWait, Span predictedRun) {
        this.task = task;
        this.number = task.attempts.size();
        this.worker = worker;
        this.sentAt = sentAt;
        this.predictedWait = predictedWait;
        predictedDuration = predictedWait.plus(predictedRun);
    }

    /** Adds the attempt to those of its task and its worker. */
    void markSent() {
        task.attempts.add(this);
        task.openAttempts++;
        worker.attempts.add(this);
    }

    /** Marks the attempt as ended. */
    void end(boolean withoutRunning) {
        ended = true;
        neverRan = withoutRunning;
        worker.attempts.remove(this);
        task.openAttempts--;
    }

    /** Returns whether the attempt is neither ended nor cancelled. */
    boolean isOpen() {
        return !ended && !cancelled;
    }

    /**
     * Returns when the worker started to run the attempt. If that was not observed, returns null where
     * workers report starts, and the predicted time where they don't.
     */
    Moment observedOrPredictedRunStart(boolean startsReported) {
        return startedAt != null || startsReported ? startedAt : sentAt.plus(predictedWait);
    }

    /** Returns when the worker last reported on the attempt, or when it was sent. */
    Moment lastHeardOfAt() {
        if (progress > 0) {
            return progressAt;
        }
        return startedAt != null ? startedAt : sentAt;
    }

    /**
     * Returns the expected total running time in milliseconds, extrapolated from the reported progress; the
     * age, which is the time since the run started, if that is longer or no progress was reported.
     */
    double expectedRunMs(double ageMs) {
        return progress > 0 ? Math.max(ageMs, progressAt.since(startedAt).millis() / progress) : ageMs;
    }

    /** Returns whether the attempt counts towards the load of its worker. */
    boolean countsAsLoad() {
        return !cancelled && !lost;
    }
}
