package rampshift.testbed.experiment;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.BinomialDistribution;

/**
 * Compares the paired runs of two arms by medians and their confidence intervals. The intervals are bounded
 * by order statistics, which assume nothing about the distribution of the values. No I/O.
 */
final class Comparison {
    private Comparison() {}

    /**
     * Returns the median of a sample with its confidence interval.
     *
     * @param values the sample, in any order
     * @param confidence the minimum probability with which the interval contains the true median, 0 to 1
     */
    static ConfidenceInterval median(double[] values, double confidence) {
        int count = values.length;
        if (count == 0) {
            return ConfidenceInterval.unbounded(Double.NaN);
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        double median = (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
        // The number of values below the true median has a binomial distribution with probability 1/2.
        BinomialDistribution valuesBelow = BinomialDistribution.of(count, 0.5);
        int excluded = -1;
        while (excluded + 1 < count / 2 && confidenceOf(valuesBelow, excluded + 1) >= confidence) {
            excluded++;
        }
        if (excluded < 0) {
            return ConfidenceInterval.unbounded(median);
        }
        return new ConfidenceInterval(median, sorted[excluded], sorted[count - 1 - excluded],
                confidenceOf(valuesBelow, excluded));
    }

    /** Returns the confidence of the interval that excludes the given number of values on each side. */
    private static double confidenceOf(BinomialDistribution valuesBelow, int excluded) {
        return 1 - 2 * valuesBelow.cumulativeProbability(excluded);
    }

    /**
     * Returns the median of the differences within pairs, with its confidence interval.
     *
     * @param baseline one value of each pair
     * @param values the other value of each pair, from which the baseline is subtracted
     * @param confidence as for {@link #median}
     */
    static ConfidenceInterval medianDifference(double[] baseline, double[] values, double confidence) {
        double[] differences = new double[baseline.length];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = values[i] - baseline[i];
        }
        return median(differences, confidence);
    }

    /** Returns the smallest sample size for which an interval with the given confidence exists. */
    static int minimumPairs(double confidence) {
        int pairs = 1;
        while (1 - 2 * Math.pow(0.5, pairs) < confidence) {
            pairs++;
        }
        return pairs;
    }
}
