package rampshift.leases;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Random draws from a seed and a counter; the same seed gives the same draws. */
final class SeededDraws {
    private static final double CRC_VALUE_COUNT = 1L << 32;

    private final long seed;
    private long counter;

    SeededDraws(long seed) {
        this.seed = seed;
    }

    /** Returns the next draw, from 0 inclusive to 1 exclusive. */
    double next() {
        counter++;
        return checksum(seed + " " + counter) / CRC_VALUE_COUNT;
    }

    /** Returns the CRC32 of a text, which gives the same order in all processes. */
    static long checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
