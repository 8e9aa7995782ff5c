package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Updates the statistics of workers, kinds and zones by attempts, load reports and endpoint lists. */
final class WorkerObserver {
    private final PolicyContext context;
    private final WorkerEstimates estimates;
    private final SlowStart slowStart;

    WorkerObserver(PolicyContext context, WorkerEstimates estimates, SlowStart slowStart) {
        this.context = context;
        this.estimates = estimates;
        this.slowStart = slowStart;
    }

    void onAttemptStarted(Attempt attempt) {
        onIdleReportChecked(attempt, true);
        context.zoneOf(attempt.worker).reached.put(context.now(), 1);
        if (!context.settings.reportsLoad) {
            // The start shows how long the queue was, and how many slots run at once.
            onStartDelay(attempt, context.since(attempt.sentAt));
            attempt.worker.kindStatistics.capacities.put(attempt.worker.startedSlots());
        }
    }

    /** Records the share of the attempt's work that is done, 0 to 1. */
    void onAttemptProgress(Attempt attempt, double completedShare) {
        if (attempt.startedAt == null) {
            // The start was not reported. The first progress message comes one interval after it.
            Moment from = context.now().minus(context.settings.progressInterval);
            attempt.startedAt = from.before(attempt.sentAt) ? attempt.sentAt : from;
        }
        attempt.progress = completedShare;
        attempt.progressAt = context.now();
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.FINISHED) {
            onRun(attempt);
        } else if (outcome == AttemptOutcome.FULL) {
            attempt.worker.rejectedAsFullAt = context.now();
            onIdleReportChecked(attempt, false);
            onStartDelay(attempt, estimates.rejectedWait());
        }
    }

    private void onRun(Attempt attempt) {
        Worker worker = attempt.worker;
        Moment startedAt = attempt.observedOrPredictedRunStart(context.settings.reportsStart);
        Span ran = context.since(startedAt != null ? startedAt : attempt.sentAt);
        if (startedAt != null) {
            // Recorded before the worker's speed, so that the first run of a type does not make its worker
            // look many times as fast or slow.
            context.runs.onRun(attempt.task, ran);
        }
        double ranMs = atLeastHalfATickMs(ran);
        // The ratio of a default to a measured run says nothing about the worker.
        if (context.runs.isKnown(attempt.task)) {
            double expectedMs = atLeastHalfATickMs(context.runs.expected(attempt.task));
            worker.recordRun(expectedMs, ranMs, slowStart.warmUpSpeedFactor(worker) >= 1);
        }
        worker.typesLostAt.remove(attempt.task.typeIndex);
        // An overdue start would have refuted the idle report by now. Where starts are not reported, only the
        // end confirms it.
        onIdleReportChecked(attempt, true);
    }

    /**
     * Returns the span in milliseconds, at least half a timer tick. Both parts of a ratio of runs get this
     * minimum: the clock resolves nothing shorter, and a minimum on one part alone would make short runs look
     * slow.
     */
    private double atLeastHalfATickMs(Span span) {
        return Math.max(span.millis(), context.settings.tick.millis() / 2);
    }

    /** Records the age of a cancelled attempt as a start delay if it should have started by then. */
    void onAttemptCancelled(Attempt attempt) {
        if (estimates.isStartOverdue(attempt)) {
            onStartDelay(attempt, context.since(attempt.sentAt));
        }
    }

    private void onStartDelay(Attempt attempt, Span delay) {
        if (!context.settings.reportsLoad) {
            attempt.worker.startDelaysMs.put(context.now(), delay.millis());
            attempt.worker.kindStatistics.startDelaysMs.put(context.now(), delay.millis());
        }
    }

    /**
     * Records whether a report of an idle slot was right for an attempt sent on it. It was wrong if it came
     * late, or if other dispatchers took the slot.
     */
    void onIdleReportChecked(Attempt attempt, boolean accurate) {
        if (attempt.sentOnIdleReport) {
            attempt.sentOnIdleReport = false;
            attempt.worker.idleReportAccuracy.put(context.now(), accurate ? 1 : 0);
            context.zoneOf(attempt.worker).idleReportAccuracy.put(context.now(), accurate ? 1 : 0);
        }
    }

    /**
     * Records a load report, in slots and units of memory; values that it lacks are NaN. The load is the
     * running slots; where these are not reported, the capacity less the free slots, plus the queue.
     */
    void onLoadReport(Worker worker, double free, double queued, double running, double freeMemory) {
        worker.onLoadReport(free, running, freeMemory);
        double queue = Double.isNaN(queued) ? 0 : queued;
        if (!Double.isNaN(running)) {
            onLoad(worker, running);
        } else {
            onLoad(worker, Double.isNaN(free) ? queue : estimates.capacity(worker) - free + queue);
        }
    }

    /**
     * Derives the load of a worker from its live weight, which is its full weight over 1 + its load per slot.
     * The full weight is the greatest listed one of its kind. All dispatchers see the same weights.
     */
    void onListedWeight(Worker worker, double weight) {
        if (context.settings.liveWeights && weight > 0 && worker.kindStatistics.capacities.count() > 0) {
            onLoad(worker, (worker.kindStatistics.maxListedWeight / weight - 1) * estimates.capacity(worker));
        }
    }

    /** Records the load of a worker in slots, less the slots of this dispatcher's attempts. */
    private void onLoad(Worker worker, double slots) {
        if (estimates.isReportDue(worker)) {
            double others = Math.max(0, slots - worker.ownSlots());
            worker.recordOtherDispatchersSlots(context.now(), others);
            context.load.put(worker, context.isOwnZone(worker), others / estimates.capacity(worker));
        }
    }
}
