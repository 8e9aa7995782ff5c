package rampshift.stages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.time.Span;

class RouteTest {
    /** Met as half of all CPU time: timers that came a part of a millisecond early were asked for again at once. */
    @ParameterizedTest
    @CsvSource({"-500,0", "0,0", "1,1", "300,1", "1000,1", "1001,2", "1700,2"})
    void aTimerOfTheModuleIsNeverEarly(long micros, long millis) {
        assertEquals(millis, Route.wholeMillis(new Span(micros)));
    }

    @Test
    void aWorkersNumberHangsOnItsUidAlone() {
        Uids one = new Uids();
        Uids other = new Uids();
        long first = one.number("s-5be2a07c");
        assertNotEquals(first, one.number("s-5be2a07d"));
        other.number("s-0badcafe");
        assertEquals(first, other.number("s-5be2a07c"), "alike at another dispatcher");
        assertEquals(first, one.number("s-5be2a07c"));
    }
}
