package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Records what attempts, load reports and endpoint lists tell of workers, their kinds and zones. */
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
            // The start tells of the queue there, and of what runs beside it.
            onStartDelay(attempt, context.since(attempt.sentAt));
            attempt.worker.kindStatistics.capacities.put(attempt.worker.startedSlots());
        }
    }

    /** {@code share}: of its work that is done, 0 to 1. */
    void onAttemptProgress(Attempt attempt, double completedShare) {
        if (attempt.startedAt == null) { // its start was not told: the first message comes so long after it
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
        Moment startedAt = attempt.observedOrPredictedStart(context.settings.reportsStart);
        Span ran = context.since(startedAt != null ? startedAt : attempt.sentAt);
        if (startedAt != null) {
            // First, so that a type's first task does not make its worker look many times as fast or slow.
            context.runs.onRun(attempt.task, ran);
        }
        double ranMs = atLeastHalfATickMs(ran);
        if (context.runs.isKnown(attempt.task)) { // a guess over a run says nothing of the worker
            double expectedMs = atLeastHalfATickMs(context.runs.expected(attempt.task));
            worker.recordRun(expectedMs, ranMs, slowStart.warmUpFactor(worker) >= 1);
        }
        worker.typesLostAt.remove(attempt.task.typeIndex);
        // it was not late meanwhile; where starts are not told nothing else tells
        onIdleReportChecked(attempt, true);
    }

    /** In milliseconds, for both of a ratio: the clock tells no less, and very short runs would look slow. */
    private double atLeastHalfATickMs(Span span) {
        return Math.max(span.millis(), context.settings.tick.millis() / 2);
    }

    /** Cancelled though it should have started by then, it tells of the queue as a start would. */
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

    /** An idle slot was promised by reports, and was there or not: they are late, or many rush to it. */
    void onIdleReportChecked(Attempt attempt, boolean accurate) {
        if (attempt.sentOnIdleReport) {
            attempt.sentOnIdleReport = false;
            attempt.worker.idleReportAccuracy.put(context.now(), accurate ? 1 : 0);
            context.zoneOf(attempt.worker).idleReportAccuracy.put(context.now(), accurate ? 1 : 0);
        }
    }

    /** In slots and units of memory; what the worker does not tell is NaN. */
    void onLoadReport(Worker worker, double free, double queued, double running, double freeMemory) {
        worker.onLoadReport(free, running, freeMemory);
        double queue = Double.isNaN(queued) ? 0 : queued;
        if (!Double.isNaN(running)) {
            onLoad(worker, running);
        } else {
            onLoad(worker, Double.isNaN(free) ? queue : estimates.capacity(worker) - free + queue);
        }
    }

    /** Live weights are the size over 1 + the load per core: a report of every worker, the same for all. */
    void onListedWeight(Worker worker, double weight) {
        if (context.settings.liveWeights && weight > 0 && worker.kindStatistics.capacities.count() > 0) {
            onLoad(worker, (worker.kindStatistics.maxListedWeight / weight - 1) * estimates.capacity(worker));
        }
    }

    private void onLoad(Worker worker, double slots) {
        if (estimates.isReportDue(worker)) {
            double others = Math.max(0, slots - worker.ownSlots());
            worker.recordOtherDispatchersSlots(context.now(), others);
            context.load.put(worker, context.isOwnZone(worker), others / estimates.capacity(worker));
        }
    }
}
