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
    void sixPairsAreTheFewestAndTheirIntervalIsAllOfThem() {
        assertEquals(6, Comparison.fewest(0.95));
        Comparison.Interval six = Comparison.of(new double[]{5, 1, 4, 2, 6, 3}, 0.95);
        assertEquals(3.5, six.median());
        assertEquals(1, six.low());
        assertEquals(6, six.high());
        assertEquals(1 - 2 / 64.0, six.confidence(), 1e-9);
        Comparison.Interval five = Comparison.of(new double[]{1, 2, 3, 4, 5}, 0.95);
        assertTrue(Double.isNaN(five.low()));
        assertEquals("too few pairs", Experiment.verdict(five));
    }

    @Test
    void aDifferenceInEachPairIsOneAndNoneIsNone() {
        double[] a = {10, 20, 30, 40, 50, 60};
        double[] b = {11, 22, 31, 43, 51, 62};
        assertEquals("different", Experiment.verdict(Comparison.differences(a, b, 0.95)));
        assertEquals("no difference shown", Experiment.verdict(Comparison.differences(a, a, 0.95)));
        b[0] = 9;
        assertEquals("no difference shown", Experiment.verdict(Comparison.differences(a, b, 0.95)));
    }

    /** Of many experiments on nothing, so many may call it something, and no more. */
    @ParameterizedTest
    @CsvSource({"6,0.95", "12,0.95", "20,0.90", "25,0.99"})
    void theStatedConfidenceHoldsOnFiguresOfAnyShape(int pairs, double confidence) {
        UniformRandomProvider chance = RandomStreams.of(1, "pairs " + pairs);
        int called = 0;
        int all = 4000;
        for (int i = 0; i < all; i++) {
            double[] d = new double[pairs];
            for (int j = 0; j < pairs; j++) {
                double skewed = -Math.log(1 - chance.nextDouble());
                d[j] = chance.nextBoolean() ? skewed : -skewed;
            }
            called += Comparison.of(d, confidence).withoutZero() ? 1 : 0;
        }
        assertTrue(called <= all * (1 - confidence) * 1.15, called + " of " + all);
        assertFalse(called == 0, "nor may it never call anything");
    }
}
