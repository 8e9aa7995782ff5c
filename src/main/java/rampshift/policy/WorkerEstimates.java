package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Estimates the speed, capacity, load and queueing delay of workers, and how reliable their reports are. */
final class WorkerEstimates {
    /**
     * Weight of the prior, the value assumed without samples, in a mean of samples weighted 0 to 1 by age.
     * Also added to the weight by age of each load report, so that old reports still count.
     */
    static final double BASE_WEIGHT = 0.15;
    /** Weight of the mean over a worker's kind or zone among the worker's own samples. */
    private static final double KIND_WEIGHT = 0.3;
    /** Weight of the mean load of the fleet among the reports of one worker. */
    private static final double FLEET_LOAD_WEIGHT = 0.1;
    /** Decay time of load reports and start delays, in mean running times. */
    private static final double REPORT_DECAY_MEAN_RUNS = 2;
    /** Decay time of short-term means, in mean running times. */
    private static final double SHORT_TERM_MEAN_RUNS = 4;
    /** Decay time of long-term means, in mean running times. */
    private static final double LONG_TERM_MEAN_RUNS = 16;
    /** Age of the last load report, in mean running times, up to which a further one holds nothing new. */
    private static final double MIN_REPORT_AGE_MEAN_RUNS = 0.5;
    /** Start delay assumed after a rejection as full, in mean running times. */
    private static final double REJECTED_WAIT_MEAN_RUNS = 4;
    /** Share of the latency objective after which an attempt that has not started counts as queued. */
    private static final double START_LIMIT_OBJECTIVES = 0.15;
    /** Multiple of the expected running time after which a running attempt counts as slow. */
    private static final double OVERDUE_RUN_FACTOR = 2;
    /** Slots by which the estimated load may exceed the capacity of a worker that counts as idle. */
    private static final double IDLE_TOLERANCE_SLOTS = 0.25;
    /** Number of load reports from which on a worker's capacity is estimated by its own reports alone. */
    private static final int MIN_CAPACITY_REPORTS = 3;

    private final PolicyContext context;
    private final SlowStart slowStart;
    /** Reports of workers that are trusted less are ignored; drawn at random for each task, 0 to 1. */
    private double trustThreshold;

    WorkerEstimates(PolicyContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Ignores, from now on, the reports of workers whose trust is below the threshold, 0 to 1. */
    void setTrustThreshold(double threshold) {
        trustThreshold = threshold;
    }

    /**
     * Returns the probability that a worker's reports are right: the share of recent attempts sent on a
     * report of an idle slot that found one, at this worker and in its zone. It detects reports that are
     * late, too low, stuck or always zero, and herds of dispatchers at one worker, and recovers as reports
     * are right again. Drawback: a worker that many dispatchers choose at once is ignored as if its reports
     * were wrong.
     */
    double reportTrust(Worker worker) {
        double zone = longTermMean(context.zoneOf(worker).idleReportAccuracy, 1);
        return worker.idleReportAccuracy.mean(context.now(), longTerm(), zone, KIND_WEIGHT);
    }

    double shortTermMean(DecayingSamples samples, double prior) {
        return samples.mean(context.now(), shortTerm(), prior, BASE_WEIGHT);
    }

    double longTermMean(DecayingSamples samples, double prior) {
        return samples.mean(context.now(), longTerm(), prior, BASE_WEIGHT);
    }

    Span shortTerm() {
        return context.runs.mean().times(SHORT_TERM_MEAN_RUNS);
    }

    Span longTerm() {
        return context.runs.mean().times(LONG_TERM_MEAN_RUNS);
    }

    /**
     * Returns the worker's speed relative to a mean worker: expected over actual running times, including
     * attempts that are overdue and still run.
     */
    private double speed(Worker worker) {
        double priorMs = context.runs.mean().millis();
        double warmUpSpeedFactor = slowStart.warmUpSpeedFactor(worker);
        KindStatistics ofKind = worker.kindStatistics;
        double kindSpeed = (ofKind.expectedRunsMs.sum() + priorMs) / (ofKind.actualRunsMs.sum() + priorMs);
        double expectedMs = worker.expectedRunsMs.sum() + priorMs * kindSpeed;
        double actualMs = worker.actualRunsMs.sum() + priorMs / warmUpSpeedFactor;
        boolean hasNoRuns = worker.expectedRunsMs.count() == 0;
        double ownSpeed = hasNoRuns ? kindSpeed * warmUpSpeedFactor
                : worker.expectedRunsMs.sum() / worker.actualRunsMs.sum();
        for (Attempt attempt : worker.attempts) {
            Moment startedAt = attempt.observedOrPredictedRunStart(context.settings.reportsStart);
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

    /**
     * Returns the expected running time of the task at the worker. A default is not scaled by the worker's
     * speed: a type rejected because of a scaled default would never run, and its running time would never be
     * measured.
     */
    Span run(Worker worker, Task task) {
        Span expected = context.runs.expected(task);
        return context.runs.isKnown(task) ? expected.times(1 / speed(worker)) : expected;
    }

    /** Returns how long an attempt may run until it counts as slow; the objective where no run is known. */
    Span overdueRun(Attempt attempt) {
        Task task = attempt.task;
        return context.runs.isKnown(task) ? run(attempt.worker, task).times(OVERDUE_RUN_FACTOR)
                : task.type.latencyObjective();
    }

    /** Returns the estimated number of slots, at least 1 and at least those that own attempts run in. */
    double capacity(Worker worker) {
        double started = worker.startedSlots();
        return Math.max(1, Math.max(Math.rint(observedCapacity(worker, started)), started));
    }

    /**
     * Returns the capacity in slots by load reports. A worker with few reports takes that of its kind; a kind
     * without reports takes its weight in the endpoint list. Where reports lack the running slots, it is the
     * largest capacity recorded for the worker or its kind. Where workers report no load, it is the largest
     * number of slots in which own attempts were seen to run at once on a worker of the kind.
     */
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

    /**
     * Returns how many slots are in use or queued for. The slots of other dispatchers are the mean of the
     * worker's reports, weighted by their age, with the mean load of the own zone or of the other zones as a
     * prior. Reports that are not trusted are ignored.
     */
    private double load(Worker worker) {
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        double weights = FLEET_LOAD_WEIGHT;
        double sum = weights * context.load.mean(context.isOwnZone(worker)) * capacity(worker);
        int reportCount = trustThreshold <= reportTrust(worker) ? worker.otherDispatchersSlots.count() : 0;
        for (int i = 0; i < reportCount; i++) {
            double weight = BASE_WEIGHT + worker.otherDispatchersSlots.weight(i, context.now(), decayTime);
            weights += weight;
            sum += weight * worker.otherDispatchersSlots.get(i);
        }
        return worker.ownSlots() + sum / weights;
    }

    /** Returns the mean of recent start delays at the worker, with that of its kind as a prior. */
    private Span startDelay(Worker worker) {
        double kind = shortTermMean(worker.kindStatistics.startDelaysMs, 0);
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        return Span.ofMillis(worker.startDelaysMs.mean(context.now(), decayTime, kind, KIND_WEIGHT));
    }

    /** Returns how long a task of this many slots is expected to queue at the worker before it starts. */
    Span wait(Worker worker, double slots) {
        double capacity = capacity(worker);
        double excessSlots = load(worker) + slots - capacity;
        Span wait = excessSlots <= 0 ? Span.ZERO
                : context.runs.mean().times(excessSlots / capacity / speed(worker));
        if (!context.settings.reportsLoad) {
            wait = wait.orLonger(startDelay(worker));
        }
        if (context.settings.reportsStart) {
            // The age of an attempt that has not started is a lower bound: it queues, or the worker hangs or
            // is unreachable.
            for (Attempt attempt : worker.attempts) {
                if (attempt.startedAt == null && attempt.countsAsLoad()) {
                    wait = wait.orLonger(context.since(attempt.sentAt));
                }
            }
        }
        return wait;
    }

    /**
     * Returns the age at which an attempt without a start message counts as queued or lost. Where starts are
     * not reported, a multiple of its predicted duration is taken.
     */
    Span startLimit(Attempt attempt) {
        return context.settings.reportsStart ? startLimit(attempt.task)
                : attempt.predictedDuration.times(OVERDUE_RUN_FACTOR);
    }

    private static Span startLimit(Task task) {
        return task.type.latencyObjective().times(START_LIMIT_OBJECTIVES);
    }

    /** Returns the start delay that is assumed at a worker which has rejected an attempt as full. */
    Span rejectedWait() {
        return context.runs.mean().times(REJECTED_WAIT_MEAN_RUNS);
    }

    /** Returns whether the last load report is old enough for another one to hold something new. */
    boolean isReportDue(Worker worker) {
        return worker.loadReportedAt == null || context.since(worker.loadReportedAt)
                .longerThan(context.runs.mean().times(MIN_REPORT_AGE_MEAN_RUNS));
    }

    /** Returns whether the attempt has not started although it should have by its start limit. */
    boolean isStartOverdue(Attempt attempt) {
        return attempt.startedAt == null && context.since(attempt.sentAt).longerThan(startLimit(attempt));
    }

    /**
     * Tests whether the worker is idle. One that was not heard from, or whose reports are not trusted, counts
     * as idle with the probability that a trusted candidate of the task is, so that not all dispatchers
     * choose it at once. It also needs room for the task beside this dispatcher's own attempts.
     */
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

    /** Returns whether the worker has slots for the task beside this dispatcher's own attempts. */
    private boolean fitsBesideOwnAttempts(Worker worker, Task task) {
        return worker.ownSlots() + task.slots <= capacity(worker);
    }

    /** Returns whether the worker was heard from and its reports are trusted for the present task. */
    private boolean isTrusted(Worker worker) {
        return worker.wasHeardFrom() && trustThreshold <= reportTrust(worker);
    }

    /**
     * Tests the idleness of a trusted worker by its load reports and their free memory; one that did not
     * answer its probe is busy. A worker that has reported none is idle without own attempts, unless it
     * rejected one as full when it was last heard from. Where workers report no load, own slots and the
     * expected start delay decide.
     */
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

    /** Returns whether a recent load report says that the task would start at once. */
    boolean hasFreshIdleReport(Worker worker, Task task) {
        Span decayTime = context.runs.mean().times(REPORT_DECAY_MEAN_RUNS);
        return worker.loadReportedAt != null && isIdle(worker, task)
                && decayTime.longerThan(context.since(worker.loadReportedAt));
    }
}
