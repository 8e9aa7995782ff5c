package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Decides which workers are left out of samples as outliers, silent or unreachable, and ramps up their
 * recovery.
 */
final class OutlierEjection {
    /** Share of failures among a worker's last outcomes from which on it is ejected. */
    private static final double EJECTION_FAILURE_SHARE = 0.3;
    /** Sum of failure scores among a worker's last outcomes below which it is not ejected. */
    private static final int EJECTION_MIN_FAILURES = 2;
    /** How long a worker stays ejected, in mean running times. */
    private static final double EJECTION_MEAN_RUNS = 2;
    /** Limit of concurrent attempts at which the recovery ramp ends and the worker is no longer limited. */
    private static final int RECOVERED_CONCURRENT_ATTEMPTS = 8;
    /** Multiple of an attempt's predicted duration after which its worker counts as silent. */
    private static final double SILENCE_PREDICTED_DURATIONS = 4;
    /** Number of progress intervals that must also have passed before a worker counts as silent. */
    private static final double SILENCE_PROGRESS_INTERVALS = 1.5;
    /** How long other zones stay unused after connections to them failed, in mean running times. */
    private static final double CROSS_ZONE_RETRY_MEAN_RUNS = 4;
    /** Number of failed connections to other zones in a row from which on these count as unreachable. */
    private static final int CROSS_ZONE_FAILURE_LIMIT = 2;
    /** Number of fleet sweeps in one mean running time. */
    private static final int SWEEPS_PER_MEAN_RUN = 4;

    private final PolicyContext context;
    private final WorkerEstimates estimates;
    private final SampleWindow crossZoneFailures = new SampleWindow(CROSS_ZONE_FAILURE_LIMIT);
    /** For the last tasks sent to another worker after an error: 1 if that worker failed too, else 0. */
    private final DecayingSamples repeatedErrors = new DecayingSamples(16);
    private Moment otherZonesUnreachableUntil;
    private Moment sweptAt;
    /** Whether most ready workers are ejected or silent, so that none is left out of samples. */
    private boolean ejectionSuspended;

    OutlierEjection(PolicyContext context, WorkerEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        boolean finished = outcome == AttemptOutcome.FINISHED;
        if (!context.isOwnZone(attempt.worker) && (finished || outcome == AttemptOutcome.NO_CONNECTION)) {
            // Connections to other zones that fail in a row mean a network partition, not faulty workers.
            crossZoneFailures.put(finished ? 0 : 1);
            boolean unreachable = crossZoneFailures.sum() == CROSS_ZONE_FAILURE_LIMIT;
            otherZonesUnreachableUntil =
                    unreachable ? context.after(meanRuns(CROSS_ZONE_RETRY_MEAN_RUNS)) : null;
        }
        if (finished) {
            recordOutcome(attempt.worker, 0);
            if (attempt.task.lastErrorWorker != null && attempt.task.lastErrorWorker != attempt.worker) {
                repeatedErrors.put(context.now(), 0);
            }
        } else if (outcome == AttemptOutcome.ERRED) {
            onError(attempt.task, attempt.worker);
        } else if (outcome.isConnectionFailure()) {
            recordOutcome(attempt.worker, 1);
        }
    }

    /**
     * Attributes an error to the worker or to the task. While most tasks with an error fail at the next
     * worker too, errors count as those of the tasks: these are not retried, and the workers' scores hardly
     * rise. The samples decay, so that tasks are retried again later. Drawback: many workers that fail at
     * once look the same.
     */
    private void onError(Task task, Worker worker) {
        if (task.lastErrorWorker != null && task.lastErrorWorker != worker) {
            repeatedErrors.put(context.now(), 1);
            recordOutcome(task.lastErrorWorker, 0);
        } else {
            recordOutcome(worker, 1 - errorRepeatProbability());
        }
        task.lastErrorWorker = worker;
    }

    /** Returns the probability that a task with an error fails at the next worker too. */
    private double errorRepeatProbability() {
        return estimates.shortTermMean(repeatedErrors, 0);
    }

    /** Returns whether the task has failed and is likely to fail at any other worker. */
    boolean likelyFailsAnywhere(Task task) {
        return task.lastErrorWorker != null && errorRepeatProbability() > 0.5;
    }

    /**
     * Records the outcome of an attempt, and ejects the worker where too many have failed. An ejected worker
     * has a limit of concurrent attempts, which doubles with each success and returns to 1 on a failure.
     */
    private void recordOutcome(Worker worker, double failureScore) {
        worker.failureScores.put(failureScore);
        boolean failed = failureScore > 0.5;
        if (worker.recoveryLimit > 0 && (failed || failureScore == 0)) {
            worker.recoveryLimit = failed ? 1 : worker.recoveryLimit * 2;
            worker.recoveryStartsAt = failed ? context.after(meanRuns(EJECTION_MEAN_RUNS)) : context.now();
            if (worker.recoveryLimit >= RECOVERED_CONCURRENT_ATTEMPTS) {
                worker.recoveryLimit = 0;
                worker.failureScores.clear();
            }
        } else if (worker.recoveryLimit == 0 && worker.failureScores.sum() >= EJECTION_MIN_FAILURES
                && worker.failureScores.mean(0) >= EJECTION_FAILURE_SHARE) {
            worker.recoveryLimit = 1;
            worker.recoveryStartsAt = context.after(meanRuns(EJECTION_MEAN_RUNS));
        }
    }

    private Span meanRuns(double count) {
        return context.runs.mean().times(count);
    }

    /**
     * Returns whether the worker may be sampled for the task. While most workers are ejected or silent, all
     * may be sampled: the fault is then more likely that of the dispatcher.
     */
    boolean admits(Worker worker, Task task) {
        return ejectionSuspended
                || (!isSilent(worker) && !isInUnreachableZone(worker) && !isEjectedFor(worker, task));
    }

    /** Returns whether the worker is in another zone while these count as unreachable. */
    private boolean isInUnreachableZone(Worker worker) {
        return !context.isOwnZone(worker) && otherZonesUnreachableUntil != null
                && context.now().before(otherZonesUnreachableUntil);
    }

    /**
     * Returns whether an ejection keeps the worker from the task: until its recovery starts, at its limit of
     * concurrent attempts, and for tasks that may not be repeated.
     */
    private boolean isEjectedFor(Worker worker, Task task) {
        boolean isAtRecoveryLimit = worker.attempts.size() >= worker.recoveryLimit;
        return worker.recoveryLimit > 0
                && (isAtRecoveryLimit || !task.type.mayRepeat()
                        || context.now().before(worker.recoveryStartsAt));
    }

    /**
     * Returns whether nothing was heard from the worker for several predicted durations of an attempt that is
     * in flight there.
     */
    boolean isSilent(Worker worker) {
        for (Attempt attempt : worker.attempts) {
            boolean heardSince = worker.lastContact != null && attempt.sentAt.before(worker.lastContact);
            Span silence = context.since(heardSince ? worker.lastContact : attempt.sentAt);
            Span limit = attempt.predictedDuration.times(SILENCE_PREDICTED_DURATIONS)
                    .orLonger(context.settings.progressInterval.times(SILENCE_PROGRESS_INTERVALS));
            if (!attempt.cancelled && silence.longerThan(limit)) {
                return true;
            }
        }
        return false;
    }

    boolean isSweepDue() {
        return sweptAt == null
                || context.since(sweptAt).micros() >= context.runs.mean().micros() / SWEEPS_PER_MEAN_RUN;
    }

    /** Records how many ready workers there are and how many of them are ejected or silent. */
    void onSweep(int ready, int unhealthy) {
        sweptAt = context.now();
        ejectionSuspended = unhealthy * 2 > ready;
    }

    boolean isEjectedOrSilent(Worker worker) {
        return worker.recoveryLimit > 0 || isSilent(worker);
    }
}
