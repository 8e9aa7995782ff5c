package rampshift.testbed.experiment;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.BinomialDistribution;

/**
 * What pairs of runs say about two arms: medians, with intervals by order statistics, which ask nothing of
 * how the
 * figures are spread. No I/O.
 */
final class Comparison {
    /** Low and high: not a number where there are too few runs for the confidence that is wanted. */
    record Interval(double median, double low, double high, double confidence) {
        /** It leaves 0 out. Bounds of the same sign are not enough: a run of equal zeros is no difference. */
        boolean withoutZero() {
            return low > 0 || high < 0;
        }
    }

    private Comparison() {}

    /** The median of some figures, and an interval that holds the true one at least that surely. */
    static Interval of(double[] figures, double confidence) {
        double[] sorted = figures.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        if (n == 0) {
            return new Interval(Double.NaN, Double.NaN, Double.NaN, 0);
        }
        double median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
        // How many of n figures lie below the true median is binomial with one half.
        BinomialDistribution below = BinomialDistribution.of(n, 0.5);
        int outside = -1;
        while (outside + 1 < n / 2 && 1 - 2 * below.cumulativeProbability(outside + 1) >= confidence) {
            outside++;
        }
        if (outside < 0) {
            return new Interval(median, Double.NaN, Double.NaN, 0);
        }
        return new Interval(median, sorted[outside], sorted[n - 1 - outside],
                1 - 2 * below.cumulativeProbability(outside));
    }

    /** The differences pair by pair, b less a. */
    static Interval differences(double[] a, double[] b, double confidence) {
        double[] d = new double[a.length];
        for (int i = 0; i < d.length; i++) {
            d[i] = b[i] - a[i];
        }
        return of(d, confidence);
    }

    /** The fewest pairs with which an interval of that confidence exists. */
    static int fewest(double confidence) {
        int n = 1;
        while (1 - 2 * Math.pow(0.5, n) < confidence) {
            n++;
        }
        return n;
    }
}
