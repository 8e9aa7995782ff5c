package rampshift.policy;

import java.util.List;
import java.util.zip.CRC32;

/** Random numbers from the instance's seed and a counter: the same input gives the same numbers. */
final class SeededRandom {
    private static final double CRC32_VALUES = 4294967296.0; // of a CRC-32
    private final long seed;
    private long counter;

    SeededRandom(long seed) {
        this.seed = seed;
    }

    /** The next number from 0 to under 1. */
    double next() {
        CRC32 crc = new CRC32();
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (counter >>> shift));
        }
        counter++;
        return crc.getValue() / CRC32_VALUES;
    }

    /** An index into the weights, in proportion to them. */
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
