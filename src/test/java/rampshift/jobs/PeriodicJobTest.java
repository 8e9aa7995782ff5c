package rampshift.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.jobs.JobSimulation.Event;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Tests a periodic job across changes of the holder of its lease. */
class PeriodicJobTest {
    private static final int OBJECTS = 40;
    private static final int SEEDS = 200;
    private static final int HOLDER_CHANGES = 6;

    private static PeriodicJobSettings settings(boolean idempotent, int maxCatchUpRuns) {
        List<String> objects = IntStream.range(0, OBJECTS).mapToObj(String::valueOf).toList();
        return new PeriodicJobSettings("sweep", "t", Span.ofMillis(1000), 0, "", objects, 100, maxCatchUpRuns,
                "/{object}", "", idempotent, Span.ofMillis(500));
    }

    /** Simulates holders that crash with tasks in flight, then one that completes the rest. */
    private static JobSimulation simulateHolderChanges(long seed, boolean idempotent) {
        JobSimulation simulation = new JobSimulation(seed, settings(idempotent, 1));
        for (int change = 0; change < HOLDER_CHANGES; change++) {
            simulation.takeOver();
            simulation.run(100 + simulation.random().nextInt(700));
            simulation.crash();
            simulation.run(simulation.random().nextInt(300));
        }
        simulation.takeOver();
        simulation.run(3000);
        return simulation;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void eachTaskRunsOrIsReportedAcrossHolderChangesAndNonIdempotentTasksRunAtMostOnce(boolean idempotent) {
        long once = 0;
        long moreOften = 0;
        long never = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            JobSimulation simulation = simulateHolderChanges(seed, idempotent);
            for (long run : simulation.runs(JobEvent.RUN_COMPLETED)) {
                for (int object = 0; object < OBJECTS; object++) {
                    int effects = simulation.effects(run, object);
                    String task = "seed " + seed + ": task " + object + " of run " + run;
                    assertTrue(effects > 0 || simulation.isReportedUnsure(run, object),
                            task + " neither ran nor was reported");
                    assertTrue(effects <= 1 || idempotent, task + " took effect " + effects + " times");
                    once += effects == 1 ? 1 : 0;
                    moreOften += effects > 1 ? 1 : 0;
                    never += effects == 0 ? 1 : 0;
                }
            }
        }
        System.out.println((idempotent ? "idempotent" : "not idempotent") + ": once " + once
                + ", more often " + moreOften + ", never but reported " + never);
        assertEquals(idempotent, never == 0);
        assertTrue(once > 20_000);
    }

    @Test
    void noTaskIsSubmittedBeforeTheRegisterContainsTheProgress() {
        JobSimulation simulation = new JobSimulation(1, settings(false, 1));
        simulation.takeOver();
        simulation.run(20);
        assertTrue(simulation.hasNoEffects() && simulation.register().isEmpty());
        simulation.run(200);
        assertFalse(simulation.hasNoEffects());
    }

    @Test
    void missedRunsAreCaughtUpOnlyToTheConfiguredNumber() {
        JobSimulation simulation = new JobSimulation(2, settings(true, 2));
        simulation.takeOver();
        while (!simulation.register().startsWith("5:") || !simulation.register().endsWith("over")) {
            simulation.run(10);
        }
        simulation.crash();
        simulation.runUntil(11_900);
        simulation.events().clear();
        simulation.takeOver();
        simulation.run(10);
        assertEquals(
                List.of(new Event(JobEvent.RUN_MISSED, 6, 0), new Event(JobEvent.RUN_MISSED, 7, 0),
                        new Event(JobEvent.RUN_MISSED, 8, 0), new Event(JobEvent.RUN_STARTED, 9, 0)),
                simulation.events());
    }

    @Test
    void aRunIsDueAtATimeOfDayOrAfterItsPredecessor() {
        long hour = 3_600_000_000L;
        Span day = new Span(24 * hour);
        PeriodicJobSettings daily = new PeriodicJobSettings("a", "t", day, 3 * hour, "", List.of("0"), 1, 0,
                "/", "", true, Span.ZERO);
        assertEquals(9, daily.dueRun(10 * 24 * hour + 2 * hour, JobProgress.NONE));
        assertEquals(10, daily.dueRun(10 * 24 * hour + 3 * hour, JobProgress.NONE));
        PeriodicJobSettings following =
                new PeriodicJobSettings("b", "t", day, 0, "a", List.of("0"), 1, 0, "/", "", true, Span.ZERO);
        assertEquals(9, following.dueRun(0, new JobProgress(10, 3, 7, false)),
                "run 10 of the predecessor is in progress");
        assertEquals(10, following.dueRun(0, new JobProgress(10, 7, 7, true)));
    }

    @Test
    void aClockThatGoesBackDoesNotRestartARun() {
        JobSimulation simulation = new JobSimulation(3, settings(true, 0));
        simulation.takeOver();
        simulation.run(990);
        int runs = simulation.runs(JobEvent.RUN_STARTED).size();
        simulation.holder().onTimer(new Moment(simulation.nowMicros() - 900_000), 2, simulation.token(),
                simulation.register());
        assertEquals(runs, simulation.runs(JobEvent.RUN_STARTED).size());
    }

    @Test
    void eventWordsMatchTheEventLog() {
        List<String> words = List.of(JobEvent.values()).stream().map(JobEvent::word).toList();
        assertEquals(List.of("begins", "missed", "over", "done", "unsure", "given-up"), words);
    }
}
