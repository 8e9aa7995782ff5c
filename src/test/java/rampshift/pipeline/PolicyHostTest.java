package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class PolicyHostTest {
    @Test
    void aWorkersNumberHangsOnItsUidAlone() {
        WorkerIds one = new WorkerIds();
        WorkerIds other = new WorkerIds();
        long first = one.number("s-5be2a07c");
        assertNotEquals(first, one.number("s-5be2a07d"));
        other.number("s-0badcafe");
        assertEquals(first, other.number("s-5be2a07c"), "alike at another dispatcher");
        assertEquals(first, one.number("s-5be2a07c"));
    }
}
