package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Three keepers, two contenders, whose clocks are a fifth slow and a fifth fast; every interleaving within
 * the bounds.
 */
class InterleavingExplorerTest {
    private static final int THREADS = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
    private static final long MOST = Long.getLong("explorer.states", 80_000);

    private static InterleavingExplorer walk(boolean held, InterleavingExplorer.Bounds bounds,
            InterleavingExplorer.Bug bug, String found,
            String... cut)
            throws Exception {
        InterleavingExplorer e = new InterleavingExplorer(bounds, bug, Set.of(cut));
        String broken = e.walk(held ? e.beginHeld() : e.begin(), THREADS);
        if (Boolean.getBoolean("explorer.talk")) {
            System.out.println(bounds + " " + bug + ": " + e.states + " states"
                    + (e.whole ? ", all there are" : "") + ", somebody acts in "
                    + e.acted + ", tokens up to " + e.tokens + ": " + broken);
        }
        if (found == null) {
            assertNull(broken);
            assertTrue(e.acted.get() > 100, "it was at stake");
        } else {
            assertTrue(broken != null && broken.startsWith(found), "found: " + broken);
        }
        return e;
    }

    @Test
    void twoThatAskAtOnceWithAMessageThatComesTwice() throws Exception {
        InterleavingExplorer e = walk(false, new InterleavingExplorer.Bounds(0, 2, 1, 0, 1_000_000),
                InterleavingExplorer.Bug.NONE, null);
        assertTrue(e.whole);
    }

    @Test
    void aKeeperThatCrashesWhileTwoAsk() throws Exception {
        assertTrue(walk(false, new InterleavingExplorer.Bounds(0, 2, 1, 2, 1_000_000),
                InterleavingExplorer.Bug.NONE, null, "a>k3",
                "b>k2").whole);
        assertTrue(walk(false, new InterleavingExplorer.Bounds(0, 3, 0, 1, 1_000_000),
                InterleavingExplorer.Bug.NONE, null, "a>k3",
                "b>k2").whole);
    }

    @Test
    void oneRenewsWhileTheOtherWaitsAndTakes() throws Exception {
        walk(true, new InterleavingExplorer.Bounds(4, 4, 0, 0, MOST), InterleavingExplorer.Bug.NONE, null);
        walk(true, new InterleavingExplorer.Bounds(6, 6, 0, 0, MOST), InterleavingExplorer.Bug.NONE, null);
        InterleavingExplorer taken = walk(true, new InterleavingExplorer.Bounds(6, 3, 0, 0, MOST),
                InterleavingExplorer.Bug.NONE, null);
        assertEquals(2, taken.tokens.get(), "without a renewal it is taken over");
    }

    @Test
    void anAnswerBeforeItIsOnDiskIsFound() throws Exception {
        walk(false, new InterleavingExplorer.Bounds(0, 2, 0, 1, 1_000_000), InterleavingExplorer.Bug.NO_SYNC,
                "two act at once",
                "a>k3", "b>k2");
    }

    @Test
    void aWaitThatLeavesOutDriftIsFound() throws Exception {
        walk(true, new InterleavingExplorer.Bounds(4, 4, 0, 0, 2_000_000), InterleavingExplorer.Bug.NO_DRIFT,
                "two act at once");
    }
}
