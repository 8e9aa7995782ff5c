package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SeededRandomTest {
    @Test
    void theSameSeedGivesTheSameNumbers() {
        SeededRandom one = new SeededRandom(7);
        SeededRandom other = new SeededRandom(7);
        for (int i = 0; i < 100; i++) {
            double number = one.next();
            assertEquals(number, other.next());
            assertTrue(number >= 0 && number < 1);
        }
    }

    @Test
    void indicesComeInProportionToTheirWeights() {
        SeededRandom random = new SeededRandom(7);
        int[] counts = new int[3];
        for (int i = 0; i < 6000; i++) {
            counts[random.nextIndex(List.of(1.0, 0.0, 2.0))]++;
        }
        assertEquals(2000, counts[0], 200);
        assertEquals(0, counts[1]);
        assertEquals(4000, counts[2], 200);
    }
}
