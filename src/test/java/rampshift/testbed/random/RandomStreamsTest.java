package rampshift.testbed.random;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RandomStreamsTest {
    /**
     * Guards against a generator in which seeds 2 and 3, 4 and 5, and so on give the same stream, and all
     * seeds the same first number.
     */
    @Test
    void adjacentSeedsGiveDifferentNumbers() {
        Set<Long> firsts = new HashSet<>();
        int high = 0;
        for (long seed = 0; seed < 100; seed++) {
            firsts.add(RandomStreams.of(seed, "one").nextLong());
            high += RandomStreams.of(seed, "one").nextDouble() > 0.5 ? 1 : 0;
            assertEquals(RandomStreams.of(seed, "one").nextLong(), RandomStreams.of(seed, "one").nextLong());
        }
        assertEquals(100, firsts.size());
        assertTrue(high > 30 && high < 70, "first numbers above 0.5: " + high);
    }
}
