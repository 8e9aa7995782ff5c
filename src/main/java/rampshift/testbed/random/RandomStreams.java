package rampshift.testbed.random;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers: a stream of its own for each actor, drawn from the run's seed and the actor's name. So an
 * actor
 * more, or one that draws more often, changes nothing for the others, and paired runs stay alike.
 */
public final class RandomStreams {
    private RandomStreams() {}

    public static UniformRandomProvider of(long seed, String actor) {
        CRC32 crc = new CRC32();
        crc.update(actor.getBytes(StandardCharsets.UTF_8));
        // The first of the four is only an odd step, of which the last bit is lost: with the seed there, 2
        // and 3 gave the
        // same numbers, and every seed the same first one.
        return RandomSource.L64_X128_MIX.create(new long[]{actor.length(), seed, crc.getValue(), ~seed});
    }
}
