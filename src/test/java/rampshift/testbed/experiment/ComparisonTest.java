package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.testbed.random.RandomStreams;

class ComparisonTest {
    @Test
    void sixPairsAreNeededAndTheirIntervalSpansAllValues() {
        assertEquals(6, Comparison.minimumPairs(0.95));
        ConfidenceInterval six = Comparison.median(new double[]{5, 1, 4, 2, 6, 3}, 0.95);
        assertEquals(3.5, six.median());
        assertEquals(1, six.low());
        assertEquals(6, six.high());
        assertEquals(1 - 2 / 64.0, six.confidence(), 1e-9);
        ConfidenceInterval five = Comparison.median(new double[]{1, 2, 3, 4, 5}, 0.95);
        assertTrue(Double.isNaN(five.low()));
        assertEquals("too few pairs", five.differenceVerdict());
    }

    @Test
    void aDifferenceIsShownIfAllPairsHaveIt() {
        double[] baseline = {10, 20, 30, 40, 50, 60};
        double[] values = {11, 22, 31, 43, 51, 62};
        assertEquals("different", verdict(baseline, values));
        assertEquals("no difference shown", verdict(baseline, baseline));
        values[0] = 9;
        assertEquals("no difference shown", verdict(baseline, values));
    }

    private static String verdict(double[] baseline, double[] values) {
        return Comparison.medianDifference(baseline, values, 0.95).differenceVerdict();
    }

    /** Among many samples without a difference, at most a share of 1 - confidence may show a difference. */
    @ParameterizedTest
    @CsvSource({"6,0.95", "12,0.95", "20,0.90", "25,0.99"})
    void theStatedConfidenceHoldsForAnyDistribution(int pairs, double confidence) {
        UniformRandomProvider random = RandomStreams.of(1, "pairs " + pairs);
        int shown = 0;
        int samples = 4000;
        for (int i = 0; i < samples; i++) {
            double[] differences = new double[pairs];
            for (int j = 0; j < pairs; j++) {
                double skewed = -Math.log(1 - random.nextDouble());
                differences[j] = random.nextBoolean() ? skewed : -skewed;
            }
            shown += Comparison.median(differences, confidence).excludesZero() ? 1 : 0;
        }
        assertTrue(shown <= samples * (1 - confidence) * 1.15, shown + " of " + samples);
        assertFalse(shown == 0, "some samples must show a difference");
    }
}
