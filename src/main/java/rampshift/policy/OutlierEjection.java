package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns which workers are ejected as outliers, silent or cut off, and the ramp of their recovery. */
final class OutlierEjection {
    private static final double EJECTION_FAILURE_SHARE = 0.3; // of a worker's last outcomes
    private static final int EJECTION_MIN_FAILURES = 2;
    private static final double EJECTION_MEAN_RUNS = 2;
    private static final int RECOVERED_CONCURRENT_ATTEMPTS = 8; // at once: the recovery ramp ends there
    private static final double SILENCE_PREDICTED_DURATIONS = 4;
    private static final double SILENCE_PROGRESS_INTERVALS = 1.5;
    private static final double CROSS_ZONE_RETRY_MEAN_RUNS = 4; // until a zone cut off is tried again
    private static final int CROSS_ZONE_FAILURE_LIMIT = 2; // in a row
    private static final int SWEEPS_PER_MEAN_RUN = 4;

    private final PolicyContext context;
    private final WorkerEstimates estimates;
    private final SampleWindow crossZoneFailures = new SampleWindow(CROSS_ZONE_FAILURE_LIMIT);
    private final DecayingSamples repeatedErrors = new DecayingSamples(16); // 1: at the next worker too
    private Moment otherZonesUnreachableUntil;
    private Moment sweptAt;
    private boolean ejectionSuspended;

    OutlierEjection(PolicyContext context, WorkerEstimates estimates) {
        this.context = context;
        this.estimates = estimates;
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        boolean finished = outcome == AttemptOutcome.FINISHED;
        if (!context.isOwnZone(attempt.worker) && (finished || outcome == AttemptOutcome.NO_CONNECTION)) {
            // Two in a row elsewhere without a connection: the zone is cut off, its workers are not at fault.
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
     * The worker's fault or the task's? The tasks that went on tell: while most fail at the next worker too,
     * errors are the tasks', which go nowhere else, and workers are not blamed. This fades, and the next task
     * is tried again. Drawback: many workers that fail at once look the same.
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

    private double errorRepeatProbability() {
        return estimates.shortTermMean(repeatedErrors, 0);
    }

    /** The task has failed, and is likely to fail at any other worker. */
    boolean likelyFailsAnywhere(Task task) {
        return task.lastErrorWorker != null && errorRepeatProbability() > 0.5;
    }

    /** Ejects a worker, or lets its recovery ramp double while all goes well. */
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

    /** Whether the worker may be drawn for the task. When most look bad, all may: it is rather our fault. */
    boolean admits(Worker worker, Task task) {
        return ejectionSuspended
                || (!isSilent(worker) && !isInUnreachableZone(worker) && !isEjectedFor(worker, task));
    }

    private boolean isInUnreachableZone(Worker worker) {
        return !context.isOwnZone(worker) && otherZonesUnreachableUntil != null
                && context.now().before(otherZonesUnreachableUntil);
    }

    private boolean isEjectedFor(Worker worker, Task task) {
        boolean isAtRecoveryLimit = worker.attempts.size() >= worker.recoveryLimit;
        return worker.recoveryLimit > 0
                && (isAtRecoveryLimit || !task.type.mayRepeat()
                        || context.now().before(worker.recoveryStartsAt));
    }

    /** Nothing was heard from the worker for several predicted spans while something is in flight there. */
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

    boolean sweepDue() {
        return sweptAt == null
                || context.since(sweptAt).micros() >= context.runs.mean().micros() / SWEEPS_PER_MEAN_RUN;
    }

    /** Of the ready workers so many are ejected or silent. */
    void onSweep(int ready, int unhealthy) {
        sweptAt = context.now();
        ejectionSuspended = unhealthy * 2 > ready;
    }

    boolean isEjectedOrSilent(Worker worker) {
        return worker.recoveryLimit > 0 || isSilent(worker);
    }
}
