package rampshift.testbed.experiment;

/**
 * Which rate to try next, to find the highest that is carried: doubles until one is not, then halves the gap
 * until
 * it is narrow. A rate counts as not carried once it has failed twice. No I/O.
 */
final class RateSearch {
    private final double most;
    private final double narrow;
    private double carried;
    private double failed;
    private double next;
    private boolean failedOnce;

    /**
     * Begins at a rate, and never tries one above the other. Narrow: the share of a gap that ends the search.
     */
    RateSearch(double first, double most, double narrow) {
        this.narrow = narrow;
        next = Math.min(first, most);
        this.most = most;
    }

    /** The rate to try now, or 0 where nothing is left to find out. */
    double next() {
        return next;
    }

    /** How the try of {@link #next()} went. */
    void told(boolean good) {
        if (!good && !failedOnce) {
            failedOnce = true;
            return;
        }
        failedOnce = false;
        if (good) {
            carried = next;
        } else {
            failed = next;
        }
        if (failed == 0) {
            next = carried >= most ? 0 : Math.min(most, carried * 2);
        } else if (carried == 0) {
            next = failed <= 1 ? 0 : failed / 4;
        } else {
            next = failed / carried <= 1 + narrow ? 0 : Math.sqrt(failed * carried);
        }
    }

    /** The highest rate that was carried so far; 0 for none. */
    double carried() {
        return carried;
    }
}
