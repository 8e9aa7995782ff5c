package rampshift.testbed.experiment;

/**
 * A median with its confidence interval.
 *
 * @param median the median of the sample; NaN if the sample is empty
 * @param low the lower bound; NaN if the sample is too small for the requested confidence
 * @param high the upper bound; NaN if the lower bound is NaN
 * @param confidence the actual confidence of the interval, 0 to 1; 0 if it has no bounds
 */
record ConfidenceInterval(double median, double low, double high, double confidence) {

    private static final String TOO_SMALL_SAMPLE = "too few pairs";
    private static final String DIFFERENT = "different";
    private static final String NOT_DIFFERENT = "no difference shown";

    /** Returns an interval without bounds. */
    static ConfidenceInterval unbounded(double median) {
        return new ConfidenceInterval(median, Double.NaN, Double.NaN, 0);
    }

    /** Returns whether 0 is outside the interval. False if it has no bounds, or if all values are 0. */
    boolean excludesZero() {
        return low > 0 || high < 0;
    }

    /** Returns the conclusion from an interval of differences, for tables, reports and result files. */
    String differenceVerdict() {
        if (Double.isNaN(low)) {
            return TOO_SMALL_SAMPLE;
        }
        return excludesZero() ? DIFFERENT : NOT_DIFFERENT;
    }
}
