package rampshift.testbed.experiment;

/**
 * Searches for the highest sustained rate. Doubles the rate until one is not sustained, or divides it by 4
 * until one is, and then bisects on a logarithmic scale until the gap is narrow enough. A rate counts as not
 * sustained after it has failed twice in a row. No I/O. All rates are in tasks per second.
 */
final class RateSearch {
    private static final double GROWTH_FACTOR = 2;
    private static final double REDUCTION_FACTOR = 4;
    private static final double MIN_RATE = 1;

    private final double maxRate;
    private final double tolerance;
    private double highestSustained;
    private double lowestFailed;
    private double nextRate;
    private boolean failedOnce;

    /**
     * Begins a search.
     *
     * @param firstRate the first rate to try, above 0
     * @param maxRate the maximum rate to try
     * @param tolerance the search ends once the lowest rate that failed is at most this share above the
     * highest one that was sustained
     */
    RateSearch(double firstRate, double maxRate, double tolerance) {
        this.maxRate = maxRate;
        this.tolerance = tolerance;
        nextRate = Math.min(firstRate, maxRate);
    }

    /** Returns the rate to try next; 0 if the search has ended. */
    double nextRate() {
        return nextRate;
    }

    /** Returns the highest rate that was sustained so far; 0 if none was. */
    double highestSustained() {
        return highestSustained;
    }

    /** Records whether the rate {@link #nextRate()} was sustained in a run. */
    void addResult(boolean sustained) {
        if (!sustained && !failedOnce) {
            failedOnce = true;
            return;
        }
        failedOnce = false;
        if (sustained) {
            highestSustained = nextRate;
        } else {
            lowestFailed = nextRate;
        }
        nextRate = chooseNextRate();
    }

    private double chooseNextRate() {
        if (lowestFailed == 0) {
            return highestSustained >= maxRate ? 0 : Math.min(maxRate, highestSustained * GROWTH_FACTOR);
        }
        if (highestSustained == 0) {
            return lowestFailed <= MIN_RATE ? 0 : lowestFailed / REDUCTION_FACTOR;
        }
        return lowestFailed / highestSustained <= 1 + tolerance ? 0
                : Math.sqrt(lowestFailed * highestSustained);
    }
}
