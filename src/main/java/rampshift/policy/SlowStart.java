package rampshift.policy;

import rampshift.time.Span;

/**
 * Owns the slow start of cold workers: how warm each is, how often it is drawn, and the credit to send to it.
 * Dispatchers share nothing: of what each sends, cold workers may get their part of the whole warm fleet,
 * times a share of the stated multiple. Over all dispatchers that adds up to this share of what they can do.
 */
final class SlowStart {
    private static final double BURST_LOAD_FACTOR = 2.5; // of the stated multiple, if all sent at once
    private static final double USED_LOAD_MULTIPLE_SHARE = 0.5; // of the stated multiple that is ever used
    private static final double MAX_CREDIT_MEAN_RUNS = 1;

    private final PolicyContext context;
    private double coldCapacityShare; // what cold workers can do, of the whole fleet when warm
    private double creditMeanRuns; // that may go to cold workers
    private double sampleProbability; // in this draw, times the worker's warmth

    SlowStart(PolicyContext context) {
        this.context = context;
    }

    /** The part of its full speed, over 0 to 1, that the worker has by its age. */
    double warmUpFactor(Worker worker) {
        Span age = context.since(worker.startedAt);
        if (worker.startedAt.micros() <= 0 || !context.settings.slowStartDuration.longerThan(age)) {
            return 1;
        }
        double from = context.settings.slowStartInitialShare;
        return from + (1 - from) * Math.max(0, age.over(context.settings.slowStartDuration));
    }

    boolean permits(Worker worker) {
        return warmUpFactor(worker) >= 1 || creditMeanRuns > 0;
    }

    /** Sets the odds of cold workers in a draw that takes one in so many workers. */
    void beginSample(double workersPerCandidate, double acceptedShare) {
        double multiple = BURST_LOAD_FACTOR * context.settings.slowStartMaxLoadMultiple;
        sampleProbability = multiple * workersPerCandidate / context.workers.readyCount() * acceptedShare;
    }

    boolean joinsSample(Worker worker) {
        return warmUpFactor(worker) >= 1
                || (creditMeanRuns > 0 && context.random.next() < sampleProbability * warmUpFactor(worker));
    }

    /** A first attempt was sent. What never ran earns nothing: it is taken back by a negative cost. */
    void earnCredit(double costMeanRuns) {
        double earned = USED_LOAD_MULTIPLE_SHARE * context.settings.slowStartMaxLoadMultiple
                * coldCapacityShare * costMeanRuns;
        creditMeanRuns = Math.min(MAX_CREDIT_MEAN_RUNS, creditMeanRuns + earned);
    }

    void onAttemptSent(Worker worker, double costMeanRuns) {
        if (warmUpFactor(worker) < 1) {
            creditMeanRuns -= costMeanRuns;
        }
    }

    /** Cold workers, by their size and warmth, can do this share of what the whole fleet can when warm. */
    void onSweep(double newColdCapacityShare) {
        // Scattered at first, so that not all dispatchers send their first task to a new worker at once.
        creditMeanRuns = coldCapacityShare == 0 ? -context.random.next() : creditMeanRuns;
        coldCapacityShare = newColdCapacityShare;
    }
}
