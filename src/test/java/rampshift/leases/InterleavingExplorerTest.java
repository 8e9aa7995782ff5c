package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import rampshift.leases.InterleavingExplorer.Bounds;
import rampshift.leases.InterleavingExplorer.Bug;

/**
 * Explores every interleaving, within bounds, of three acceptors and two contenders whose clocks are a fifth
 * too slow and a fifth too fast.
 */
class InterleavingExplorerTest {
    private static final int THREADS = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
    private static final long MAX_STATES = Long.getLong("explorer.states", 80_000);
    private static final long ALL_STATES = 1_000_000;
    private static final int MIN_ACTING_STATES = 100;
    private static final String TWO_ACT_AT_ONCE = "two contenders act at once";
    private static final String[] NO_CUT_LINKS = {};
    /** Each contender reaches a different pair of the three acceptors. */
    private static final String[] ONE_CUT_LINK_EACH = {"a>k3", "b>k2"};

    private static InterleavingExplorer assertSafe(boolean held, Bounds bounds, String... cutLinks)
            throws Exception {
        InterleavingExplorer explorer = new InterleavingExplorer(bounds, Bug.NONE, Set.of(cutLinks));
        assertNull(explore(explorer, held, bounds, Bug.NONE));
        assertTrue(explorer.actingStates() > MIN_ACTING_STATES,
                "the assertion was checked in states with an acting contender");
        return explorer;
    }

    private static void assertBugFound(boolean held, Bounds bounds, Bug bug, String... cutLinks)
            throws Exception {
        InterleavingExplorer explorer = new InterleavingExplorer(bounds, bug, Set.of(cutLinks));
        String violation = explore(explorer, held, bounds, bug);
        assertTrue(violation != null && violation.startsWith(TWO_ACT_AT_ONCE), "found: " + violation);
    }

    private static String explore(InterleavingExplorer explorer, boolean held, Bounds bounds, Bug bug)
            throws Exception {
        String violation = explorer.explore(held ? explorer.heldState() : explorer.initialState(), THREADS);
        if (Boolean.getBoolean("explorer.talk")) {
            System.out.println(bounds + " " + bug + ": " + explorer.states() + " states"
                    + (explorer.isComplete() ? ", complete" : "") + ", a contender acts in "
                    + explorer.actingStates() + ", tokens up to " + explorer.highestToken() + ": "
                    + violation);
        }
        return violation;
    }

    @Test
    void twoContendersNeverActAtOnceWithARepeatedMessage() throws Exception {
        assertTrue(assertSafe(false, new Bounds(0, 2, 1, 0, ALL_STATES), NO_CUT_LINKS).isComplete());
    }

    @Test
    void twoContendersNeverActAtOnceWhileAcceptorsCrash() throws Exception {
        assertTrue(assertSafe(false, new Bounds(0, 2, 1, 2, ALL_STATES), ONE_CUT_LINK_EACH).isComplete());
        assertTrue(assertSafe(false, new Bounds(0, 3, 0, 1, ALL_STATES), ONE_CUT_LINK_EACH).isComplete());
    }

    @Test
    void aTakeoverNeverOverlapsARenewal() throws Exception {
        assertSafe(true, new Bounds(4, 4, 0, 0, MAX_STATES), NO_CUT_LINKS);
        assertSafe(true, new Bounds(6, 6, 0, 0, MAX_STATES), NO_CUT_LINKS);
        InterleavingExplorer takeover = assertSafe(true, new Bounds(6, 3, 0, 0, MAX_STATES), NO_CUT_LINKS);
        assertEquals(2, takeover.highestToken(), "without a renewal the lease is taken over");
    }

    @Test
    void aReplyBeforeTheSyncIsDetected() throws Exception {
        assertBugFound(false, new Bounds(0, 2, 0, 1, ALL_STATES), Bug.NO_SYNC, ONE_CUT_LINK_EACH);
    }

    @Test
    void aTakeoverDelayWithoutDriftIsDetected() throws Exception {
        assertBugFound(true, new Bounds(4, 4, 0, 0, 2 * ALL_STATES), Bug.NO_DRIFT, NO_CUT_LINKS);
    }
}
