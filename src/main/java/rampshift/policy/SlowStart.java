package rampshift.policy;

import rampshift.time.Span;

/**
 * Owns the slow start of cold workers: how warm each is, how often it is drawn, and the credit to send to it.
 * Dispatchers share nothing: of what each sends, cold workers may get their part of the whole warm fleet,
 * times a share of the stated multiple. Over all dispatchers that adds up to this share of what they can do.
 */
final class SlowStart {
    private static final double RUSH_MULTIPLE = 2.5; // of the stated multiple, if all sent at once
    private static final double CREDIT_SHARE = 0.5; // of the stated multiple that is ever used
    private static final double MAX_CREDIT_MEAN_RUNS = 1;

    private final PolicyContext context;
    private double coldShare; // what cold workers can do, of the whole fleet when warm
    private double creditMeanRuns; // that may go to cold workers
    private double drawOdds; // in this draw, times the worker's warmth

    SlowStart(PolicyContext context) {
        this.context = context;
    }

    /** The part of its full speed, over 0 to 1, that the worker has by its age. */
    double warmth(Worker worker) {
        Span age = context.since(worker.startedAt);
        if (worker.startedAt.micros() <= 0 || !context.settings.slowStartDuration.longerThan(age)) {
            return 1;
        }
        double from = context.settings.slowStartInitialShare;
        return from + (1 - from) * Math.max(0, age.over(context.settings.slowStartDuration));
    }

    boolean permits(Worker worker) {
        return warmth(worker) >= 1 || creditMeanRuns > 0;
    }

    /** Sets the odds of cold workers in a draw that takes one in so many workers. */
    void beginDraw(double workersPerCandidate, double acceptedShare) {
        double multiple = RUSH_MULTIPLE * context.settings.slowStartMaxLoadMultiple;
        drawOdds = multiple * workersPerCandidate / context.workers.readyCount() * acceptedShare;
    }

    boolean joinsDraw(Worker worker) {
        return warmth(worker) >= 1
                || (creditMeanRuns > 0 && context.random.next() < drawOdds * warmth(worker));
    }

    /** A first attempt was sent. What never ran earns nothing: it is taken back by a negative cost. */
    void earn(double costMeanRuns) {
        double earned = CREDIT_SHARE * context.settings.slowStartMaxLoadMultiple * coldShare * costMeanRuns;
        creditMeanRuns = Math.min(MAX_CREDIT_MEAN_RUNS, creditMeanRuns + earned);
    }

    void onAttemptSent(Worker worker, double costMeanRuns) {
        if (warmth(worker) < 1) {
            creditMeanRuns -= costMeanRuns;
        }
    }

    /** Cold workers, by their size and warmth, can do this share of what the whole fleet can when warm. */
    void onSweep(double share) {
        // Scattered at first, so that not all dispatchers send their first task to a new worker at once.
        creditMeanRuns = coldShare == 0 ? -context.random.next() : creditMeanRuns;
        coldShare = share;
    }
}
