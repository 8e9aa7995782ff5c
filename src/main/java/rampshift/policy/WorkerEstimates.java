package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns what is expected of each worker: speed, capacity, load and wait, and how far its reports hold. */
final class WorkerEstimates {
    static final double MIN_WEIGHT = 0.15; // that a sample keeps at any age, and that a prior has
    private static final double KIND_WEIGHT = 0.3; // of what its kind or zone tells, among its own samples
    private static final double FLEET_LOAD_WEIGHT = 0.1;
    private static final double REPORT_DECAY_MEAN_RUNS = 2;
    private static final double SHORT_TERM_MEAN_RUNS = 4;
    private static final double LONG_TERM_MEAN_RUNS = 16;
    // a further report within it tells nothing new
    private static final double MIN_REPORT_AGE_MEAN_RUNS = 0.5;
    private static final double REJECTED_WAIT_MEAN_RUNS = 4; // that a rejection as full tells of
    private static final double START_LIMIT_OBJECTIVES = 0.15; // not started by then, an attempt queues
    private static final double OVERDUE_RUN_FACTOR = 2; // after which a running attempt counts as slow
    private static final double IDLE_TOLERANCE_SLOTS = 0.25;
    private static final int MIN_CAPACITY_REPORTS = 3; // before a worker's own tell its capacity

    private final PolicyContext context;
    private final SlowStart slowStart;
    private double trustThreshold; // of the task being placed: reports that are trusted less are not read

    WorkerEstimates(PolicyContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Sets which share of reports is read from now on: those trusted at least as much as this, 0 to 1. */
    void setTrustThreshold(double threshold) {
        trustThreshold = threshold;
    }

    /**
     * How likely a worker's reports are to hold, by the attempts that they promised an idle slot, and by its
     * zone's. Covers late, low, stuck and zero reports, and rushes to the same worker; fades as they agree
     * again. Drawback: one that others rush to is looked at less, as if its reports were wrong.
     */
    double reportTrust(Worker worker) {
        double zone = longTermMean(context.zoneOf(worker).idleReportAccuracy, 1);
        return worker.idleReportAccuracy.mean(context.now(), longTerm(), zone, KIND_WEIGHT);
    }

    double shortTermMean(DecayingSamples samples, double prior) {
        return samples.mean(context.now(), shortTerm(), prior, MIN_WEIGHT);
    }

    double longTermMean(DecayingSamples samples, double prior) {
        return samples.mean(context.now(), longTerm(), prior, MIN_WEIGHT);
    }

    Span shortTerm() {
        return context.runs.mean().times(SHORT_TERM_MEAN_RUNS);
    }

    Span longTerm() {
        return context.runs.mean().times(LONG_TERM_MEAN_RUNS);
    }

    /** Expected over actual running times, running attempts that are overdue included; 1 is middling. */
    private double speed(Worker worker) {
        double priorMs = context.runs.mean().millis();
        double warmUpFactor = slowStart.warmUpFactor(worker);
        KindStatistics ofKind = worker.kindStatistics;
        double kindSpeed = (ofKind.expectedRunsMs.sum() + priorMs) / (ofKind.actualRunsMs.sum() + priorMs);
        double expectedMs = worker.expectedRunsMs.sum() + priorMs * kindSpeed;
        double actualMs = worker.actualRunsMs.sum() + priorMs / warmUpFactor;
        boolean hasNoRuns = worker.expectedRunsMs.count() == 0;
        double ownSpeed = hasNoRuns ? kindSpeed * warmUpFactor
                : worker.expectedRunsMs.sum() / worker.actualRunsMs.sum();
        for (Attempt attempt : worker.attempts) {
            Moment startedAt = attempt.observedOrPredictedStart(context.settings.reportsStart);
            if (startedAt != null && attempt.countsAsLoad() && context.runs.isKnown(attempt.task)) {
                double dueMs = context.runs.expected(attempt.task).millis();
                double runMs = attempt.expectedRunMs(context.since(startedAt).millis());
                if (runMs > OVERDUE_RUN_FACTOR * dueMs / ownSpeed) {
                    expectedMs += dueMs;
                    actualMs += runMs;
                }
            }
        }
        return expectedMs / actualMs;
    }

    /** A guess is not scaled by the speed of the worker: rejected by it, the type would never be known. */
    Span run(Worker worker, Task task) {
        Span expected = context.runs.expected(task);
        return context.runs.isKnown(task) ? expected.times(1 / speed(worker)) : expected;
    }

    /** How long an attempt may run until it counts as slow; one of an unknown type, until it is late. */
    Span overdueRun(Attempt attempt) {
        Task task = attempt.task;
        return context.runs.isKnown(task) ? run(attempt.worker, task).times(OVERDUE_RUN_FACTOR)
                : task.type.latencyObjective();
    }

    double capacity(Worker worker) {
        double started = worker.startedSlots();
        return Math.max(1, Math.max(Math.rint(observedCapacity(worker, started)), started));
    }

    /** Few reports of its own yet: others of its kind tell, or the weight in the list. */
    private double observedCapacity(Worker worker, double started) {
        KindStatistics kind = worker.kindStatistics;
        if (!context.settings.reportsLoad) {
            return kind.capacities.max(1);
        }
        if (kind.capacities.count() == 0) {
            return Math.max(started + (worker.attempts.isEmpty() ? 1 : 0), kind.maxListedWeight);
        }
        if (!worker.capacityReported) {
            return Math.max(worker.capacities.max(1), kind.capacities.max(1));
        }
        return worker.capacities.count() < MIN_CAPACITY_REPORTS ? kind.capacities.mean(1)
                : worker.capacities.mean(1);
    }

    /** Slots in use or waited for; without a recent report, as many as on its side of the fleet. */
    private double load(Worker worker) {
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        double weights = FLEET_LOAD_WEIGHT;
        double sum = weights * context.load.mean(context.isOwnZone(worker)) * capacity(worker);
        int reportCount = trustThreshold <= reportTrust(worker) ? worker.otherDispatchersSlots.count() : 0;
        for (int i = 0; i < reportCount; i++) {
            double weight = MIN_WEIGHT + worker.otherDispatchersSlots.weight(i, context.now(), decayTime);
            weights += weight;
            sum += weight * worker.otherDispatchersSlots.get(i);
        }
        return worker.ownSlots() + sum / weights;
    }

    /** What the last starts say of the wait there, those of its kind where it has few. */
    private Span startDelay(Worker worker) {
        double kind = shortTermMean(worker.kindStatistics.startDelaysMs, 0);
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        return Span.ofMillis(worker.startDelaysMs.mean(context.now(), decayTime, kind, KIND_WEIGHT));
    }

    /** How long a task of so many slots is expected to wait there before it starts. */
    Span wait(Worker worker, double slots) {
        double capacity = capacity(worker);
        double excessSlots = load(worker) + slots - capacity;
        Span wait = excessSlots <= 0 ? Span.ZERO
                : context.runs.mean().times(excessSlots / capacity / speed(worker));
        if (!context.settings.reportsLoad) {
            wait = wait.orLonger(startDelay(worker));
        }
        if (context.settings.reportsStart) {
            // An attempt that has not started shows the queue there, or a worker that hangs or is cut off.
            for (Attempt attempt : worker.attempts) {
                if (attempt.startedAt == null && attempt.countsAsLoad()) {
                    wait = wait.orLonger(context.since(attempt.sentAt));
                }
            }
        }
        return wait;
    }

    /** How long an attempt may be out before a start message is missed: it queues, or is lost. */
    Span startLimit(Attempt attempt) {
        return context.settings.reportsStart ? startLimit(attempt.task)
                : attempt.predictedDuration.times(OVERDUE_RUN_FACTOR);
    }

    private static Span startLimit(Task task) {
        return task.type.latencyObjective().times(START_LIMIT_OBJECTIVES);
    }

    /** How long a worker is expected to be busy that has rejected an attempt as full. */
    Span rejectedWait() {
        return context.runs.mean().times(REJECTED_WAIT_MEAN_RUNS);
    }

    /** Whether the last report is so old that another one tells something new. */
    boolean isReportDue(Worker worker) {
        return worker.loadReportedAt == null || context.since(worker.loadReportedAt)
                .longerThan(context.runs.mean().times(MIN_REPORT_AGE_MEAN_RUNS));
    }

    boolean isStartOverdue(Attempt attempt) {
        return attempt.startedAt == null && context.since(attempt.sentAt).longerThan(startLimit(attempt));
    }

    /** Not heard from, or not believed: idle with the odds of the others, so that it draws no herd. */
    boolean isIdle(Worker worker, Task task) {
        if (isTrusted(worker)) {
            return passesIdlenessTest(worker, task);
        }
        int trusted = 0;
        int idle = 0;
        for (Worker other : task.candidates) {
            trusted += isTrusted(other) ? 1 : 0;
            idle += isTrusted(other) && passesIdlenessTest(other, task) ? 1 : 0;
        }
        return !worker.probeUnanswered && task.randomDraw * trusted <= idle
                && (worker.attempts.isEmpty()
                        || (worker.wasHeardFrom() && fitsBesideOwnAttempts(worker, task)));
    }

    private boolean fitsBesideOwnAttempts(Worker worker, Task task) {
        return worker.ownSlots() + task.slots <= capacity(worker);
    }

    private boolean isTrusted(Worker worker) {
        return worker.wasHeardFrom() && trustThreshold <= reportTrust(worker);
    }

    private boolean passesIdlenessTest(Worker worker, Task task) {
        if (worker.probeUnanswered) {
            return false;
        }
        if (worker.hasReported) {
            return load(worker) + task.slots <= capacity(worker) + IDLE_TOLERANCE_SLOTS
                    && !(worker.freeMemory < task.memory);
        }
        if (context.settings.reportsLoad) {
            return worker.attempts.isEmpty()
                    && (worker.rejectedAsFullAt == null
                            || worker.rejectedAsFullAt.before(worker.lastContact));
        }
        return worker.ownSlots() + task.slots <= capacity(worker) + IDLE_TOLERANCE_SLOTS
                && !wait(worker, task.slots).longerThan(startLimit(task).plus(context.settings.tick));
    }

    /** A report that is still young says that the task would start at once. */
    boolean hasFreshIdleReport(Worker worker, Task task) {
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        return worker.loadReportedAt != null && isIdle(worker, task)
                && decayTime.longerThan(context.since(worker.loadReportedAt));
    }
}
