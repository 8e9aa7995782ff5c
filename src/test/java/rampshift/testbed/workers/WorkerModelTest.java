package rampshift.testbed.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

class WorkerModelTest {
    private static final FleetPlan.Machine KIND = new FleetPlan.Machine("m", 2, 1, 2, 10);
    private static final FleetPlan.Cold COLD =
            new FleetPlan.Cold(0.25, Span.ofMillis(1000), 4, Span.ofMillis(100));
    private final List<String> begun = new ArrayList<>();
    private final List<String> done = new ArrayList<>();

    private static Moment at(double ms) {
        return Moment.ofMillis(ms);
    }

    private static Job job(String txn, double ms, double slots) {
        return new Job(txn, "-", 0, Span.ofMillis(ms), slots, 1, null, 0);
    }

    private static WorkerModel warm(boolean inOrder) {
        return new WorkerModel(KIND, inOrder, COLD, at(0), null);
    }

    /** What it says up to that time, told whenever it wants to be looked at. */
    private void play(WorkerModel machine, double ms) {
        while (true) {
            for (Job j = machine.nextBegun(); j != null; j = machine.nextBegun()) {
                begun.add(j.txn);
            }
            for (Job j = machine.nextDone(); j != null; j = machine.nextDone()) {
                done.add(j.txn);
            }
            Moment next = machine.nextLook();
            if (next == null || at(ms).before(next)) {
                machine.advance(at(ms));
                return;
            }
            machine.advance(next);
        }
    }

    @Test
    void asManyRunAsFitOthersWaitAndWhatIsTooMuchNeverBegins() {
        WorkerModel m = warm(true);
        assertTrue(m.offer(job("a", 100, 1), at(0)));
        assertTrue(m.offer(job("b", 50, 1), at(0)));
        assertTrue(m.offer(job("c", 10, 1), at(0)));
        assertTrue(m.offer(job("d", 10, 1), at(0)));
        assertFalse(m.offer(job("e", 10, 1), at(0)), "no room to wait");
        assertEquals(2, m.waiting());
        play(m, 55);
        assertEquals(List.of("a", "b", "c"), begun);
        assertEquals(List.of("b"), done);
        play(m, 200);
        assertEquals(List.of("b", "c", "d", "a"), done);
    }

    @ParameterizedTest
    @CsvSource({"true,'a'", "false,'a,small'"})
    void theFirstWaitsUntilItFitsOrAnyThatFitsBegins(boolean inOrder, String expected) {
        WorkerModel m = warm(inOrder);
        m.offer(job("a", 100, 1), at(0));
        m.offer(job("wide", 100, 2), at(0));
        m.offer(job("small", 100, 1), at(0));
        play(m, 1);
        assertEquals(List.of(expected.split(",")), begun);
    }

    @Test
    void aWorkerThatSlowsDownMidwayEndsItsJobsLaterAndOneThatStandsStillNever() {
        WorkerModel m = warm(true);
        m.offer(job("a", 100, 1), at(0));
        m.factor(0.5, at(50));
        play(m, 149);
        assertEquals(List.of(), done);
        m.stand(true, at(149));
        assertNull(m.nextLook());
        play(m, 500);
        m.stand(false, at(500));
        play(m, 502);
        assertEquals(List.of("a"), done);
    }

    @Test
    void aColdOneWorksAtPartOfItsSpeedUntilItIsWarm() {
        WorkerModel m = warm(true);
        m.restart(at(0));
        m.offer(job("a", 100, 1), at(0));
        play(m, 200);
        assertEquals(List.of(), done, "a quarter of its speed, rising");
        play(m, 300);
        assertEquals(List.of("a"), done);
        assertTrue(m.cold());
        m.advance(at(1001));
        assertFalse(m.cold());
    }

    @Test
    void sentMoreThanTheStatedMultipleWhileColdItFallsOverAndStaysDown() {
        WorkerModel m = warm(true);
        m.restart(at(0));
        // It can do a quarter of two slots for 100 ms: 50; four times that is 200.
        assertTrue(m.offer(job("a", 100, 1), at(0)));
        assertTrue(m.offer(job("b", 90, 1), at(1)));
        assertFalse(m.fallen());
        m.offer(job("c", 90, 1), at(102));
        assertFalse(m.fallen(), "the first was long enough ago");
        m.offer(job("d", 90, 1), at(103));
        m.offer(job("e", 90, 1), at(104));
        assertTrue(m.fallen());
        assertFalse(m.offer(job("f", 1, 1), at(105)));
        m.advance(at(5000));
        assertNull(m.nextDone());
        assertFalse(m.offer(job("g", 1, 1), at(5000)), "it does not get up by itself");
    }

    @Test
    void theSameToAWarmOneIsNoMatter() {
        WorkerModel m = warm(true);
        for (int i = 0; i < 4; i++) {
            assertTrue(m.offer(job("j" + i, 1000, 1), at(i)));
        }
        assertFalse(m.fallen());
    }

    @Test
    void aJobTakenBackGivesItsPlaceToTheNext() {
        WorkerModel m = warm(true);
        Job a = job("a", 100, 2);
        m.offer(a, at(0));
        m.offer(job("b", 10, 1), at(0));
        m.remove(a, at(20));
        play(m, 31);
        assertEquals(List.of("b"), done);
        assertEquals(2, m.freeSlots());
        assertEquals(10, m.freeMemory());
        assertEquals(0, m.held());
    }

    @Test
    void fingerprintsAreKnownWithinTheirWindowAndForgottenAfterIt() {
        IdempotencyKeys prints = new IdempotencyKeys();
        Span window = Span.ofMillis(100);
        assertFalse(prints.repeat("k", window, at(0)));
        assertTrue(prints.repeat("k", window, at(100)));
        assertFalse(prints.repeat("k", window, at(101)));
        assertTrue(prints.repeat("k", window, at(150)));
    }

    @Test
    void reportsAreAsOldAsTheirRefreshAndAsLateAsATroubleSays() {
        FleetPlan.Reports plan = new FleetPlan.Reports(FleetPlan.Reports.How.INLINE,
                List.of(FleetPlan.Reports.Figure.FREE_SLOTS,
                        FleetPlan.Reports.Figure.WAITING, FleetPlan.Reports.Figure.HELD,
                        FleetPlan.Reports.Figure.FREE_MEMORY),
                Span.ofMillis(100));
        LoadReports reports = new LoadReports(plan);
        WorkerModel m = warm(true);
        String empty = "{\"x0\":2.00,\"queue\":0,\"inflight\":0,\"x1\":10.00}";
        String one = "{\"x0\":1.00,\"queue\":0,\"inflight\":1,\"x1\":9.00}";
        assertEquals(empty, reports.now(m, at(0)));
        m.offer(job("a", 10_000, 1), at(10));
        assertEquals(empty, reports.now(m, at(99)));
        assertEquals(one, reports.now(m, at(100)));
        m.offer(job("b", 10_000, 1), at(110));
        reports.late(Span.ofMillis(500));
        assertEquals(one, reports.now(m, at(700)), "it is older than the newest by the time that it is late");
        assertNull(new LoadReports(
                new FleetPlan.Reports(FleetPlan.Reports.How.NONE, plan.figures(), plan.refresh())).now(m,
                        at(0)));
    }
}
