package rampshift.membership;

import java.util.zip.CRC32;

/**
 * Random numbers by a CRC32 over the seed, the process id and a counter: the same inputs give the same draws.
 */
final class RandomDraws {
    private static final double VALUES = 1L << 32;
    private static final double MIN_JITTER_FACTOR = 0.75;
    private static final double JITTER_RANGE = 0.5;

    private final long seed;
    private final long processId;
    private long counter;

    RandomDraws(long seed, long processId) {
        this.seed = seed;
        this.processId = processId;
    }

    /** A number from 0 to under 1. */
    double next() {
        counter++;
        CRC32 crc = new CRC32();
        update(crc, seed);
        update(crc, processId);
        update(crc, counter);
        return crc.getValue() / VALUES;
    }

    /** A whole number from 0 to under the bound. */
    int below(int bound) {
        return Math.min(bound - 1, (int) (next() * bound));
    }

    /** A factor from 0.75 to under 1.25, to keep members from acting in step. */
    double jitterFactor() {
        return MIN_JITTER_FACTOR + next() * JITTER_RANGE;
    }

    private static void update(CRC32 crc, long value) {
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (value >>> shift));
        }
    }
}
