package rampshift.policy;

import java.util.zip.CRC32;

/** Chance from the instance's seed and a counter: the same input gives the same draws. */
final class SeededRandom {
    private final long seed;
    private long counter;

    SeededRandom(long seed) {
        this.seed = seed;
    }

    /** The next number from 0 to under 1. */
    double next() {
        CRC32 crc = new CRC32();
        for (int shift = 0; shift < 64; shift += 8) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (counter >>> shift));
        }
        counter++;
        return crc.getValue() / 4294967296.0;
    }
}
