package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RateSearchTest {
    @ParameterizedTest
    @ValueSource(doubles = {30, 99, 250, 700, 1999, 7999})
    void findsTheCapacityWithinTenPercent(double capacity) {
        RateSearch search = new RateSearch(250, 8000, 0.1);
        int trials = 0;
        while (search.nextRate() > 0) {
            assertTrue(++trials < 40);
            search.addResult(search.nextRate() <= capacity);
        }
        double found = search.highestSustained();
        assertTrue(found <= capacity && found * 1.1 >= capacity * 0.999, found + " of " + capacity);
    }

    @Test
    void oneFailureIsRepeatedAndTheMaximumIsNotExceeded() {
        RateSearch search = new RateSearch(100, 400, 0.1);
        search.addResult(false);
        assertEquals(100, search.nextRate(), "a rate that failed once is repeated");
        search.addResult(true);
        search.addResult(true);
        assertEquals(400, search.nextRate());
        search.addResult(true);
        assertEquals(0, search.nextRate());
        assertEquals(400, search.highestSustained());
    }

    @Test
    void endsIfNoRateIsCarried() {
        RateSearch search = new RateSearch(100, 400, 0.1);
        int trials = 0;
        while (search.nextRate() > 0) {
            assertTrue(++trials < 20);
            search.addResult(false);
        }
        assertEquals(0, search.highestSustained());
    }
}
