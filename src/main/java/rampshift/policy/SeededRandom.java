package rampshift.policy;

import java.util.List;
import java.util.zip.CRC32;

/** Pseudorandom numbers from a seed and a counter; equal seeds give equal sequences. */
final class SeededRandom {
    /** Number of values that a CRC-32 can have. */
    private static final double CRC32_VALUES = 4294967296.0;
    private final long seed;
    private long counter;

    SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns the next number, from 0 inclusive to 1 exclusive. */
    double next() {
        CRC32 crc = new CRC32();
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (counter >>> shift));
        }
        counter++;
        return crc.getValue() / CRC32_VALUES;
    }

    /** Returns a random index with probabilities in proportion to the weights. */
    int nextIndex(List<Double> weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double left = next() * sum;
        int index = 0;
        while (index < weights.size() - 1 && (left -= weights.get(index)) > 0) {
            index++;
        }
        return index;
    }
}
