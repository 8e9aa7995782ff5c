package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** One sending of a task to a worker. */
final class Attempt {
    final Task task;
    final int number;
    final Worker worker;
    final Moment sentAt;
    final Span predictedWait;
    /** The wait and the run. */
    final Span predictedDuration;
    /** Null until its start is told. */
    Moment startedAt;
    Moment progressAt;
    /** The share of its work that is done, 0 to 1. */
    double progress;
    /** Reports said that it would start at once, and it is not known yet whether they held. */
    boolean sentOnIdleReport;
    /** Its progress messages have ended without an answer. */
    boolean lost;
    /** What it earned for cold workers as it was sent, in mean runs. */
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

    /** It is sent. */
    void markSent() {
        task.attempts.add(this);
        task.openAttempts++;
        worker.attempts.add(this);
    }

    void end(boolean withoutRunning) {
        ended = true;
        neverRan = withoutRunning;
        worker.attempts.remove(this);
        task.openAttempts--;
    }

    /** Neither ended nor cancelled. */
    boolean isOpen() {
        return !ended && !cancelled;
    }

    /** When it began to run, or where starts are not told should have; null where its was not told. */
    Moment observedOrPredictedStart(boolean startsReported) {
        return startedAt != null || startsReported ? startedAt : sentAt.plus(predictedWait);
    }

    /** When its worker last told of it, or else when it was sent. */
    Moment lastHeardOfAt() {
        if (progress > 0) {
            return progressAt;
        }
        return startedAt != null ? startedAt : sentAt;
    }

    /** What it is going to run in all, in milliseconds, by its progress; at least its age. */
    double expectedRunMs(double ageMs) {
        return progress > 0 ? Math.max(ageMs, progressAt.since(startedAt).millis() / progress) : ageMs;
    }

    /** As one of its worker's attempts, it counts as work that the worker has. */
    boolean countsAsLoad() {
        return !cancelled && !lost;
    }
}
