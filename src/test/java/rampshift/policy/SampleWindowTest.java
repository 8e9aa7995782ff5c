package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import rampshift.time.Moment;
import rampshift.time.Span;

class SampleWindowTest {
    @Test
    void onlyTheLastValuesCount() {
        SampleWindow window = new SampleWindow(2);
        assertEquals(5, window.mean(5), "none yet");
        window.put(100);
        window.put(1);
        window.put(3);
        assertEquals(2, window.count());
        assertEquals(2, window.mean(5));
        assertEquals(3, window.max(0));
        assertEquals(1, window.oldest());
    }

    @Test
    void aValueLosesItsWeightAsItAges() {
        DecayingSamples samples = new DecayingSamples(4);
        samples.put(Moment.ofMillis(1000), 1);
        Span decayTime = Span.ofMillis(100);
        assertEquals(0.5, samples.mean(Moment.ofMillis(1000), decayTime, 0, 1), 1e-9);
        double weight = Math.exp(-1);
        assertEquals(weight / (1 + weight), samples.mean(Moment.ofMillis(1100), decayTime, 0, 1), 1e-9);
        samples.clear();
        assertEquals(0, samples.count());
    }
}
