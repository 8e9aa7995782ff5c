package rampshift.membership;

import java.util.zip.CRC32;

/**
 * A deterministic random number generator: each number is the CRC32 of the seed, the process id and a
 * counter.
 */
final class RandomDraws {
    private static final double VALUE_COUNT = 1L << 32;
    private static final double MIN_JITTER_FACTOR = 0.75;
    private static final double JITTER_RANGE = 0.5;

    private final long seed;
    private final long processId;
    private long counter;

    RandomDraws(long seed, long processId) {
        this.seed = seed;
        this.processId = processId;
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    double nextDouble() {
        counter++;
        CRC32 crc = new CRC32();
        update(crc, seed);
        update(crc, processId);
        update(crc, counter);
        return crc.getValue() / VALUE_COUNT;
    }

    /** Returns an integer from 0 (inclusive) to the bound (exclusive). */
    int nextInt(int bound) {
        return Math.min(bound - 1, (int) (nextDouble() * bound));
    }

    /** Returns a factor from 0.75 to 1.25 that keeps the members from acting at the same times. */
    double jitterFactor() {
        return MIN_JITTER_FACTOR + nextDouble() * JITTER_RANGE;
    }

    private static void update(CRC32 crc, long value) {
        for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
            crc.update((int) (value >>> shift));
        }
    }
}
