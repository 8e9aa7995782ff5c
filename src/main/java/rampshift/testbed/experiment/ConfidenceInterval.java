package rampshift.testbed.experiment;

/**
 * A median with its confidence interval.
 *
 * @param median the median of the sample; not a number if the sample is empty
 * @param low the lower bound; not a number if the sample is too small for the requested confidence
 * @param high the upper bound; not a number if the lower one is not
 * @param confidence the confidence that the interval has, 0 to 1; 0 if it has no bounds
 */
record ConfidenceInterval(double median, double low, double high, double confidence) {

    private static final String TOO_SMALL_SAMPLE = "too few pairs";
    private static final String DIFFERENT = "different";
    private static final String NOT_DIFFERENT = "no difference shown";

    /** An interval without bounds. */
    static ConfidenceInterval unbounded(double median) {
        return new ConfidenceInterval(median, Double.NaN, Double.NaN, 0);
    }

    /** Whether 0 lies outside. False without bounds, and also if all values were 0. */
    boolean excludesZero() {
        return low > 0 || high < 0;
    }

    /** What an interval of differences shows, in the words of all tables, reports and result files. */
    String differenceVerdict() {
        if (Double.isNaN(low)) {
            return TOO_SMALL_SAMPLE;
        }
        return excludesZero() ? DIFFERENT : NOT_DIFFERENT;
    }
}
