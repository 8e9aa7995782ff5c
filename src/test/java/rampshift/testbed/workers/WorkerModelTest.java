package rampshift.testbed.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

class WorkerModelTest {
    private static final FleetPlan.Machine MACHINE = new FleetPlan.Machine("m", 2, 1, 2, 10);
    private static final FleetPlan.SlowStart COLD_START =
            new FleetPlan.SlowStart(0.25, Span.ofMillis(1000), 4, Span.ofMillis(100));
    private final List<String> started = new ArrayList<>();
    private final List<String> completed = new ArrayList<>();

    private static Moment at(double millis) {
        return Moment.ofMillis(millis);
    }

    private static Job job(String id, double millis, double slots) {
        return new Job(new Task(id, "-", 0, Span.ofMillis(millis), slots, 1, null));
    }

    private static WorkerModel warmModel(boolean inOrder) {
        return new WorkerModel(MACHINE, inOrder, COLD_START, at(0));
    }

    private static WorkerModel coldModel() {
        WorkerModel model = warmModel(true);
        model.restart(at(0));
        return model;
    }

    /** Runs a model up to a time, with all updates it requests, and records started and completed jobs. */
    private void run(WorkerModel model, double millis) {
        while (true) {
            for (Job job = model.pollStarted(); job != null; job = model.pollStarted()) {
                started.add(job.task().transactionId());
            }
            for (Job job = model.pollCompleted(); job != null; job = model.pollCompleted()) {
                completed.add(job.task().transactionId());
            }
            Moment next = model.nextUpdate();
            if (next == null || at(millis).before(next)) {
                model.advance(at(millis));
                return;
            }
            model.advance(next);
        }
    }

    @Test
    void jobsRunIfTheyFitOrAreQueuedOrRejected() {
        WorkerModel model = warmModel(true);
        assertTrue(model.offer(job("a", 100, 1), at(0)));
        assertTrue(model.offer(job("b", 50, 1), at(0)));
        assertTrue(model.offer(job("c", 10, 1), at(0)));
        assertTrue(model.offer(job("d", 10, 1), at(0)));
        assertFalse(model.offer(job("e", 10, 1), at(0)), "the queue is full");
        assertEquals(2, model.waitingJobs());
        run(model, 55);
        assertEquals(List.of("a", "b", "c"), started);
        assertEquals(List.of("b"), completed);
        run(model, 200);
        assertEquals(List.of("b", "c", "d", "a"), completed);
    }

    @ParameterizedTest
    @CsvSource({"true,'a'", "false,'a,small'"})
    void jobsStartInOrderOrWheneverTheyFit(boolean inOrder, String expected) {
        WorkerModel model = warmModel(inOrder);
        model.offer(job("a", 100, 1), at(0));
        model.offer(job("wide", 100, 2), at(0));
        model.offer(job("small", 100, 1), at(0));
        run(model, 1);
        assertEquals(List.of(expected.split(",")), started);
    }

    @Test
    void aSlowedDownWorkerCompletesItsJobsLaterAndAPausedOneNever() {
        WorkerModel model = warmModel(true);
        model.offer(job("a", 100, 1), at(0));
        model.setSpeedFactor(0.5, at(50));
        run(model, 149);
        assertEquals(List.of(), completed);
        model.setPaused(true, at(149));
        assertNull(model.nextUpdate());
        run(model, 500);
        model.setPaused(false, at(500));
        run(model, 502);
        assertEquals(List.of("a"), completed);
    }

    @Test
    void aColdWorkerRunsAtAShareOfItsSpeedUntilItIsWarm() {
        WorkerModel model = coldModel();
        model.offer(job("a", 100, 1), at(0));
        run(model, 200);
        assertEquals(List.of(), completed, "the speed rises from a quarter of the warm speed");
        run(model, 300);
        assertEquals(List.of("a"), completed);
        assertTrue(model.isCold());
        model.advance(at(1001));
        assertFalse(model.isCold());
    }

    @Test
    void aColdWorkerThatReceivesTooMuchWorkCrashesAndStaysDown() {
        WorkerModel model = coldModel();
        // Two slots at a quarter of their speed do 50 ms of work in 100 ms; the limit is 4 times that, 200.
        assertTrue(model.offer(job("a", 100, 1), at(0)));
        assertTrue(model.offer(job("b", 90, 1), at(1)));
        assertFalse(model.hasCrashed());
        model.offer(job("c", 90, 1), at(102));
        assertFalse(model.hasCrashed(), "the first job is outside the window");
        model.offer(job("d", 90, 1), at(103));
        model.offer(job("e", 90, 1), at(104));
        assertTrue(model.hasCrashed());
        assertFalse(model.offer(job("f", 1, 1), at(105)));
        model.advance(at(5000));
        assertNull(model.pollCompleted());
        assertFalse(model.offer(job("g", 1, 1), at(5000)), "the worker does not restart by itself");
    }

    @Test
    void aWarmWorkerThatReceivesTooMuchWorkDoesNotCrash() {
        WorkerModel model = warmModel(true);
        for (int i = 0; i < 4; i++) {
            assertTrue(model.offer(job("j" + i, 1000, 1), at(i)));
        }
        assertFalse(model.hasCrashed());
    }

    @Test
    void aCancelledJobReleasesItsCapacity() {
        WorkerModel model = warmModel(true);
        Job cancelled = job("a", 100, 2);
        model.offer(cancelled, at(0));
        model.offer(job("b", 10, 1), at(0));
        model.cancel(cancelled, at(20));
        run(model, 31);
        assertEquals(List.of("b"), completed);
        assertEquals(2, model.freeSlots());
        assertEquals(10, model.freeMemory());
        assertEquals(0, model.heldJobs());
    }

    @Test
    void idempotencyKeysAreKeptForTheirWindow() {
        IdempotencyKeys keys = new IdempotencyKeys();
        Span window = Span.ofMillis(100);
        assertFalse(keys.isRepeated("k", window, at(0)));
        assertTrue(keys.isRepeated("k", window, at(100)));
        assertFalse(keys.isRepeated("k", window, at(101)));
        assertTrue(keys.isRepeated("k", window, at(150)));
    }

    @Test
    void reportsAreRefreshedAtIntervalsAndDelayedByFaults() {
        FleetPlan.Reports settings = new FleetPlan.Reports(FleetPlan.Reports.How.INLINE,
                List.of(FleetPlan.Reports.Figure.FREE_SLOTS, FleetPlan.Reports.Figure.WAITING,
                        FleetPlan.Reports.Figure.HELD, FleetPlan.Reports.Figure.FREE_MEMORY),
                Span.ofMillis(100));
        LoadReports reports = new LoadReports(settings);
        WorkerModel model = warmModel(true);
        Optional<String> idleReport = Optional.of("{\"x0\":2.00,\"queue\":0,\"inflight\":0,\"x1\":10.00}");
        Optional<String> oneJobReport = Optional.of("{\"x0\":1.00,\"queue\":0,\"inflight\":1,\"x1\":9.00}");
        assertEquals(idleReport, reports.current(model, at(0)));
        model.offer(job("a", 10_000, 1), at(10));
        assertEquals(idleReport, reports.current(model, at(99)));
        assertEquals(oneJobReport, reports.current(model, at(100)));
        model.offer(job("b", 10_000, 1), at(110));
        reports.setDelay(Span.ofMillis(500));
        assertEquals(oneJobReport, reports.current(model, at(700)), "the newer report is delayed");
        FleetPlan.Reports noReports = new FleetPlan.Reports(FleetPlan.Reports.How.NONE, settings.figures(),
                settings.refresh());
        assertEquals(Optional.empty(), new LoadReports(noReports).current(model, at(0)));
    }
}
