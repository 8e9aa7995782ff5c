package rampshift.policy;

import rampshift.time.Span;

/**
 * Slow start of cold workers: limits how often they are sampled and, by a credit, how much they are sent.
 *
 * <p>Dispatchers share no state. Each of them may send to cold workers a share of all that it sends: the
 * present capacity of cold workers over that of the whole fleet when warm, times the allowed load multiple,
 * times a safety factor. Summed over all dispatchers, cold workers are sent that factor of the load that is
 * allowed.
 */
final class SlowStart {
    /**
     * Expected load of a cold worker in a burst of all dispatchers, as a multiple of the load that it may be
     * sent; sets the probability with which it joins samples.
     */
    private static final double BURST_LOAD_FACTOR = 2.5;
    /** Share of the allowed load multiple for which credit is earned: the safety factor. */
    private static final double USED_LOAD_MULTIPLE_SHARE = 0.5;
    /** Limit of the credit, in mean runs of one slot. */
    private static final double MAX_CREDIT_MEAN_RUNS = 1;

    private final PolicyContext context;
    /** Present capacity of cold workers as a share of the capacity of the whole fleet when warm. */
    private double coldCapacityShare;
    /** Work that may be sent to cold workers, in mean runs of one slot; negative after more was sent. */
    private double creditMeanRuns;
    /** Probability that a worker joins the present sample, to be multiplied by its warm-up speed factor. */
    private double sampleProbability;

    SlowStart(PolicyContext context) {
        this.context = context;
    }

    /**
     * Returns the worker's present speed as a fraction of its speed when warm, above 0 and at most 1. It
     * rises linearly with the age of the worker; 1 after the slow start or if the start time is unknown.
     */
    double warmUpSpeedFactor(Worker worker) {
        Span age = context.since(worker.startedAt);
        if (worker.startedAt.micros() <= 0 || !context.settings.slowStartDuration.longerThan(age)) {
            return 1;
        }
        double from = context.settings.slowStartInitialShare;
        return from + (1 - from) * Math.max(0, age.over(context.settings.slowStartDuration));
    }

    /** Returns whether the worker is warm or there is credit for cold workers. */
    boolean permits(Worker worker) {
        return warmUpSpeedFactor(worker) >= 1 || creditMeanRuns > 0;
    }

    /** Sets the probability with which cold workers join a sample that takes one of this many workers. */
    void beginSample(double workersPerCandidate, double acceptedShare) {
        double multiple = BURST_LOAD_FACTOR * context.settings.slowStartMaxLoadMultiple;
        sampleProbability = multiple * workersPerCandidate / context.workers.readyCount() * acceptedShare;
    }

    /** Returns whether the worker joins the present sample: always if warm, at random if cold. */
    boolean joinsSample(Worker worker) {
        return warmUpSpeedFactor(worker) >= 1
                || (creditMeanRuns > 0
                        && context.random.next() < sampleProbability * warmUpSpeedFactor(worker));
    }

    /**
     * Earns the credit of an attempt that was sent while no other attempt at its task was open. An attempt
     * that never ran earns nothing: its credit is taken back by a negative cost.
     */
    void earnCredit(double costMeanRuns) {
        double earned = USED_LOAD_MULTIPLE_SHARE * context.settings.slowStartMaxLoadMultiple
                * coldCapacityShare * costMeanRuns;
        creditMeanRuns = Math.min(MAX_CREDIT_MEAN_RUNS, creditMeanRuns + earned);
    }

    /** Spends the credit of an attempt if its worker is cold. */
    void onAttemptSent(Worker worker, double costMeanRuns) {
        if (warmUpSpeedFactor(worker) < 1) {
            creditMeanRuns -= costMeanRuns;
        }
    }

    /** Records the present capacity of cold workers as a share of that of the whole fleet when warm. */
    void onSweep(double newColdCapacityShare) {
        // A random initial debt keeps all dispatchers from sending their first task to a new worker at once.
        creditMeanRuns = coldCapacityShare == 0 ? -context.random.next() : creditMeanRuns;
        coldCapacityShare = newColdCapacityShare;
    }
}
