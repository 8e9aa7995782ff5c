package rampshift.testbed.clients;

import java.util.stream.DoubleStream;
import org.apache.commons.rng.UniformRandomProvider;

/** A random choice among numbered options, drawn in proportion to their weights. */
final class WeightedChoice {
    private final double[] weights;
    private final double totalWeight;

    /**
     * Creates a choice.
     *
     * @param weights the weight of each option, 0 or more
     */
    WeightedChoice(DoubleStream weights) {
        this.weights = weights.toArray();
        totalWeight = DoubleStream.of(this.weights).sum();
    }

    /** Returns whether no option has a weight above 0. */
    boolean isEmpty() {
        return totalWeight <= 0;
    }

    /** Draws the index of an option, using one random number from the source. */
    int draw(UniformRandomProvider random) {
        double remaining = random.nextDouble() * totalWeight;
        int last = weights.length - 1;
        for (int i = 0; i < last; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return last;
    }
}
