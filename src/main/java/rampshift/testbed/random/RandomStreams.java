package rampshift.testbed.random;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers. The stream of each consumer depends only on the seed of the run and
 * on the consumer's name. An additional consumer, or one that draws more numbers, does not affect the streams
 * of the others, so paired runs remain comparable.
 */
public final class RandomStreams {
    private RandomStreams() {}

    /**
     * Creates the stream of a consumer, from its beginning.
     *
     * @param seed the seed of the run
     * @param consumer the name of the consumer
     */
    public static UniformRandomProvider of(long seed, String consumer) {
        CRC32 checksum = new CRC32();
        checksum.update(consumer.getBytes(StandardCharsets.UTF_8));
        // The generator uses the first of the four numbers only as an increment and drops its last bit. A
        // seed in
        // that position would give seeds 2 and 3 the same stream, and all seeds the same first number.
        return RandomSource.L64_X128_MIX
                .create(new long[]{consumer.length(), seed, checksum.getValue(), ~seed});
    }
}
