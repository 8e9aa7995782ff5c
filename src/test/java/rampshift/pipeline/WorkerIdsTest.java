package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

/** Tests the numbers that identify workers. */
class WorkerIdsTest {
    @Test
    void numberOfWorkerDependsOnItsUidAlone() {
        WorkerIds ids = new WorkerIds();
        WorkerIds idsOfOtherDispatcher = new WorkerIds();
        long number = ids.number("s-5be2a07c");
        assertNotEquals(number, ids.number("s-5be2a07d"));
        idsOfOtherDispatcher.number("s-0badcafe");
        assertEquals(number, idsOfOtherDispatcher.number("s-5be2a07c"), "at another dispatcher");
        assertEquals(number, ids.number("s-5be2a07c"));
    }
}
