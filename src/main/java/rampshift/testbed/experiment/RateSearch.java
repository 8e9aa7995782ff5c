package rampshift.testbed.experiment;

/**
 * Searches for the highest rate that is carried: doubles the rate until one is not carried, then halves the
 * gap, on a logarithmic scale, until it is narrow enough. A rate counts as not carried once it has failed
 * twice. No I/O. All rates are in tasks a second.
 */
final class RateSearch {
    private static final double GROWTH_FACTOR = 2;
    private static final double REDUCTION_FACTOR = 4;
    private static final double MIN_RATE = 1;

    private final double maxRate;
    private final double tolerance;
    private double highestCarried;
    private double lowestFailed;
    private double nextRate;
    private boolean failedOnce;

    /**
     * Begins a search.
     *
     * @param firstRate the rate to begin with; above 0
     * @param maxRate no rate above this one is tried
     * @param tolerance the search ends once the lowest rate that failed is at most this share above the
     * highest one that was carried
     */
    RateSearch(double firstRate, double maxRate, double tolerance) {
        this.maxRate = maxRate;
        this.tolerance = tolerance;
        nextRate = Math.min(firstRate, maxRate);
    }

    /** The rate to try now; 0 if the search has ended. */
    double nextRate() {
        return nextRate;
    }

    /** The highest rate that was carried so far; 0 if none was. */
    double highestCarried() {
        return highestCarried;
    }

    /** Takes the result of a trial at {@link #nextRate()}. */
    void addResult(boolean carried) {
        if (!carried && !failedOnce) {
            failedOnce = true;
            return;
        }
        failedOnce = false;
        if (carried) {
            highestCarried = nextRate;
        } else {
            lowestFailed = nextRate;
        }
        nextRate = chooseNextRate();
    }

    private double chooseNextRate() {
        if (lowestFailed == 0) {
            return highestCarried >= maxRate ? 0 : Math.min(maxRate, highestCarried * GROWTH_FACTOR);
        }
        if (highestCarried == 0) {
            return lowestFailed <= MIN_RATE ? 0 : lowestFailed / REDUCTION_FACTOR;
        }
        return lowestFailed / highestCarried <= 1 + tolerance ? 0 : Math.sqrt(lowestFailed * highestCarried);
    }
}
