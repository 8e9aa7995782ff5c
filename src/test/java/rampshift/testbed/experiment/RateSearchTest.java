package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RateSearchTest {
    @ParameterizedTest
    @ValueSource(doubles = {30, 99, 250, 700, 1999, 7999})
    void itFindsWhatIsCarriedToATenth(double limit) {
        RateSearch climb = new RateSearch(250, 8000, 0.1);
        int tries = 0;
        while (climb.next() > 0) {
            assertTrue(++tries < 40);
            climb.told(climb.next() <= limit);
        }
        assertTrue(climb.carried() <= limit && climb.carried() * 1.1 >= limit * 0.999,
                climb.carried() + " of " + limit);
    }

    @Test
    void oneHiccupIsNoLimitAndTheMostIsNotPassed() {
        RateSearch climb = new RateSearch(100, 400, 0.1);
        climb.told(false);
        assertEquals(100, climb.next(), "once more");
        climb.told(true);
        climb.told(true);
        assertEquals(400, climb.next());
        climb.told(true);
        assertEquals(0, climb.next());
        assertEquals(400, climb.carried());
    }

    @Test
    void whereNothingIsCarriedItEnds() {
        RateSearch climb = new RateSearch(100, 400, 0.1);
        int tries = 0;
        while (climb.next() > 0) {
            assertTrue(++tries < 20);
            climb.told(false);
        }
        assertEquals(0, climb.carried());
    }
}
