package rampshift.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private static final int MAX_BYTES = 100;

    private final MemoryBudget budget = new MemoryBudget(MAX_BYTES);
    private final List<String> evicted = new ArrayList<>();

    private MemoryBudget.Reservation reservation(String name) {
        return budget.newReservation(() -> evicted.add(name));
    }

    @Test
    void evictsWhatHasHeldMemoryForTheLongestTime() {
        MemoryBudget.Reservation first = reservation("first");
        MemoryBudget.Reservation second = reservation("second");
        assertTrue(first.resize(40));
        assertTrue(second.resize(40));
        assertTrue(first.resize(50), "a change of size is no new beginning");
        assertTrue(reservation("third").resize(60));
        assertEquals(List.of("first"), evicted);
        assertEquals(MAX_BYTES, budget.reservedBytes());
    }

    @Test
    void aReservationOfZeroBytesBeginsAnew() {
        MemoryBudget.Reservation first = reservation("first");
        first.resize(40);
        reservation("second").resize(40);
        first.resize(0);
        first.resize(40);
        assertTrue(reservation("third").resize(40));
        assertEquals(List.of("second"), evicted);
    }

    @Test
    void refusesTheOneThatHasHeldMemoryForTheLongestTime() {
        MemoryBudget.Reservation first = reservation("first");
        first.resize(60);
        reservation("second").resize(40);
        assertFalse(first.resize(61), "its owner asks, and is told by the result");
        assertEquals(List.of(), evicted);
        assertEquals(40, budget.reservedBytes());
        assertFalse(reservation("third").resize(MAX_BYTES + 1), "larger than the whole budget");
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void aPinnedReservationIsNotEvicted() {
        MemoryBudget.Reservation pinned = reservation("pinned");
        assertTrue(pinned.resizeAndPin(60));
        assertTrue(reservation("second").resize(40));
        assertTrue(reservation("third").resize(30));
        assertEquals(List.of("second"), evicted);
        assertFalse(reservation("fourth").resizeAndPin(50), "the third one's memory is not enough");
        assertEquals(List.of("second", "third"), evicted);
        assertTrue(pinned.resize(60), "from now on it may be evicted");
        assertTrue(reservation("fifth").resize(50));
        assertEquals(List.of("second", "third", "pinned"), evicted);
    }

    /** An owner may release or resize others while it is evicted, as the policy does that cancels a copy. */
    @Test
    void staysWithinTheLimitWhateverOwnersDoMeanwhile() {
        SplittableRandom random = new SplittableRandom(1);
        List<MemoryBudget.Reservation> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(budget.newReservation(() -> all.get(random.nextInt(20)).resize(random.nextInt(30))));
        }
        for (int step = 0; step < 20_000; step++) {
            MemoryBudget.Reservation next = all.get(random.nextInt(20));
            int bytes = random.nextInt(4) == 0 ? 0 : random.nextInt(60);
            boolean granted = random.nextBoolean() ? next.resize(bytes) : next.resizeAndPin(bytes);
            assertTrue(granted || bytes > 0, "0 bytes are always granted");
            assertTrue(budget.reservedBytes() <= MAX_BYTES, "step " + step);
        }
        all.forEach(MemoryBudget.Reservation::release);
        assertEquals(0, budget.reservedBytes());
    }
}
