package rampshift.testbed.random;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Independent streams of random numbers. Each consumer has a stream of its own, which depends only on the
 * seed of the run and on the consumer's name: one more consumer, or one that draws more often, changes
 * nothing for the others, and paired runs stay alike.
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
        // The generator uses the first of the four numbers only as an increment, and drops its last bit. With
        // the seed there, seeds 2 and 3 gave the same stream, and all seeds the same first number.
        return RandomSource.L64_X128_MIX
                .create(new long[]{consumer.length(), seed, checksum.getValue(), ~seed});
    }
}
