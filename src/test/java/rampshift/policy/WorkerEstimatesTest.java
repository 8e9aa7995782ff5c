package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Span;

/** Which workers are taken for idle, fast or slow, by reports and by what was observed. */
class WorkerEstimatesTest {
    @Test
    void withoutAReportAWorkerWithoutOwnAttemptsIsIdle() {
        FakeHost host = new FakeHost().fleet(2);
        assertNotEquals(host.worker(host.task(NON_IDEMPOTENT), 0), host.worker(host.task(NON_IDEMPOTENT), 0));
    }

    /**
     * Its running time is not known, so its latency objective stands for it, and that was divided by the
     * speed of workers. One slow run among short ones made them look so slow that the type was rejected: by
     * ten runs of 1 ms and one of 100 a worker has a quarter of its speed, 100 ms became 400, all there was.
     */
    @Test
    void aTypeThatNeverRanIsNotRejectedWhereWorkersLookSlow() {
        FakeHost host = new FakeHost().fleet(1).runTasks(IDEMPOTENT, 10, 1).runTasks(IDEMPOTENT, 1, 100);
        long id = host.task(NON_IDEMPOTENT);
        assertEquals(0, host.count("reject " + id + " "));
        assertEquals(1, host.worker(id, 0));
    }

    /**
     * Its start was not told, so its latency objective stood for its running time: the one worker looked many
     * times as fast as the other, and all waited there.
     */
    @Test
    void aFirstFinishWithoutAStartDoesNotMakeItsWorkerLookFast() {
        FakeHost host = new FakeHost();
        host.settings.types.add(new TrafficType(1, 0, Span.ofMillis(5000), 0, Span.ofMillis(9000),
                TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, null,
                null));
        host.fleet(2).runTasks(NON_IDEMPOTENT, 40, 30);
        long first = host.task(4);
        host.after(30).finished(first, 0, AttemptOutcome.FINISHED);
        host.reportFreeSlots(1, 1).reportFreeSlots(2, 1);
        int sentThere = 0;
        int sentElsewhere = 0;
        for (int i = 0; i < 20; i++) {
            long worker = host.worker(host.task(NON_IDEMPOTENT), 0);
            sentThere += worker == host.worker(first, 0) ? 1 : 0;
            sentElsewhere += worker == 3 - host.worker(first, 0) ? 1 : 0;
        }
        assertTrue(sentThere <= sentElsewhere + 2,
                "of workers alike one got " + sentThere + ", the other " + sentElsewhere);
    }

    /**
     * A run of less than half a tick counts as half of one, and what was expected of it did not: a worker
     * that ran a type in 0.05 ms for long looked ten times as slow as it was, and a type that runs longer
     * was rejected.
     */
    @Test
    void runsBelowTheClockResolutionDoNotMakeTheirWorkerLookSlow() {
        FakeHost host = new FakeHost().fleet(1).runTasks(IDEMPOTENT, 80, 0.05);
        host.runTasks(NON_IDEMPOTENT, 1, 0.05).reportFreeSlots(1, 4);
        long id = host.hintedTask(NON_IDEMPOTENT, 60, 5000 - 170);
        assertEquals(1, host.worker(id, 0), "60 ms are to run, 110 are left");
    }

    @Test
    void liveWeightsOfTheListShowWhichWorkerIsBusy() {
        FakeHost host = new FakeHost();
        host.settings.liveWeights = true;
        host.fleet(4).reportFreeSlots(1, 4).reportFreeSlots(2, 4);
        for (int round = 0; round < 4; round++) {
            host.policy().onEndpointListBegin(EndpointListKind.DELTA);
            for (int id = 1; id <= 4; id++) {
                host.policy().onEndpoint(new ListedWorker(id, 0, 1, 0, EndpointState.READY, host.warmStart(),
                        id == 3 ? 8 : 2));
            }
            host.policy().onEndpointListEnd();
            host.after(200);
        }
        for (int i = 0; i < 10; i++) {
            long id = host.task(NON_IDEMPOTENT);
            assertEquals(3, host.worker(id, 0), "the others hold three times their room");
            host.started(id, 0).after(40).finished(id, 0, AttemptOutcome.FINISHED);
        }
    }

    @Test
    void whereWorkersReportedIdleDoNotStartTasksAreSpreadWithoutTheReports() {
        FakeHost host = new FakeHost();
        host.fleet(6).runTasks(NON_IDEMPOTENT, 40, 50);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            for (int worker = 1; worker <= 6; worker++) {
                host.policy().onLoadReport(worker, worker == 1 ? 3 : 0, Double.NaN, worker == 1 ? 0 : 9,
                        Double.NaN);
            }
            long id = host.task(IDEMPOTENT);
            if (i >= 20) {
                used.add(host.worker(id, 0));
            }
            host.after(60).started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
        assertTrue(used.size() > 1, "reports are late and worker 1 is overrun: " + used);
    }

    /**
     * Met where 28 of 112 workers told of idle slots and had none: 28% of the sends, two thirds rejected
     * as full.
     */
    @Test
    void aWorkerWhoseReportsAreWrongIsAvoided() {
        FakeHost host = new FakeHost();
        host.fleet(12);
        int sentThere = 0;
        for (int i = 0; i < 60; i++) {
            for (int worker = 1; worker <= 12; worker++) {
                host.reportFreeSlots(worker, worker <= 3 ? 4 : worker == 4 ? 1 : 0);
            }
            long id = host.after(60).task(NON_IDEMPOTENT);
            boolean sentOnWrongReport = host.worker(id, 0) <= 3;
            sentThere += sentOnWrongReport && i >= 20 ? 1 : 0;
            int last = 0;
            while (host.worker(id, last) > 0 && host.worker(id, last) <= 3) {
                host.finished(id, last++, AttemptOutcome.FULL);
            }
            host.started(id, last).after(50).finished(id, last, AttemptOutcome.FINISHED);
        }
        assertTrue(sentThere <= 25, "most go there by their reports: " + sentThere + " of 40");
    }

    @Test
    void aTypesFirstFinishDoesNotMakeItsWorkerLookFast() {
        FakeHost host = new FakeHost().fleet(1).reportFreeSlots(1, 1).runTasks(NON_IDEMPOTENT, 1, 2);
        for (int i = 0; i < 30; i++) {
            host.task(IDEMPOTENT);
        }
        assertTrue(host.count("reject") >= 20, "one slot cannot take them");
    }

    /**
     * Met on a day on which one answer in six was lost: what would never end counted as slow runs and taken
     * slots.
     */
    @Test
    void attemptsWhoseAnswersAreLostDoNotMakeTheirWorkersLookSlowAndFull() {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(1000);
        host.fleet(2).runTasks(NON_IDEMPOTENT, 40, 50);
        for (int i = 0; i < 6; i++) {
            host.started(host.task(NON_IDEMPOTENT), 0);
        }
        for (int i = 0; i < 40; i++) {
            long id = host.task(NON_IDEMPOTENT);
            host.started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
        int rejected = host.count("reject");
        host.runTasks(NON_IDEMPOTENT, 20, 50);
        assertEquals(rejected, host.count("reject"), "rejectd once it is known that they are lost");
    }

    /** Workers that grew slower were met only as they finished something, many running times later. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whereStartsAreNotReportedAnOverdueRunShowsASlowWorker(boolean progress) {
        for (int seed = 1; seed <= 8; seed++) {
            FakeHost host = new FakeHost();
            host.settings.seed = seed;
            host.settings.reportsStart = false;
            host.settings.progressInterval = Span.ofMillis(progress ? 50 : 0);
            host.fleet(2).reportFreeSlots(1, 4).reportFreeSlots(2, 4);
            for (int i = 0; i < 20; i++) {
                long id = host.task(NON_IDEMPOTENT);
                host.after(50).finished(id, 0, AttemptOutcome.FINISHED);
            }
            long slowTask = host.task(NON_IDEMPOTENT);
            host.after(progress ? 60 : 150);
            if (progress) {
                host.policy().onAttemptProgress(slowTask, 0, 0.1);
            }
            long other = 3 - host.worker(slowTask, 0);
            host.policy().onLoadReport(host.worker(slowTask, 0), 3, Double.NaN, 1, Double.NaN);
            host.policy().onLoadReport(other, 3, Double.NaN, 1, Double.NaN);
            assertEquals(other, host.worker(host.task(NON_IDEMPOTENT), 0), "seed " + seed);
        }
    }

    /**
     * Only starts told that a report had held: where none are told, no report was believed any more after a
     * while.
     */
    @Test
    void whereStartsAreNotReportedFinishesInTimeConfirmReports() {
        for (int seed = 1; seed <= 5; seed++) {
            FakeHost host = new FakeHost();
            host.settings.seed = seed;
            host.settings.reportsStart = false;
            host.fleet(2);
            for (int i = 0; i < 40; i++) {
                host.policy().onLoadReport(1, 4, Double.NaN, 0, Double.NaN);
                host.policy().onLoadReport(2, 4, Double.NaN, 0, Double.NaN);
                long id = host.hintedTask(NON_IDEMPOTENT, 50, 5000);
                host.after(i < 10 ? 150 : 50).finished(id, 0, AttemptOutcome.FINISHED);
            }
            host.policy().onLoadReport(1, 4, Double.NaN, 0, Double.NaN);
            host.policy().onLoadReport(2, 0, Double.NaN, 30, Double.NaN);
            assertEquals(1, host.worker(host.hintedTask(NON_IDEMPOTENT, 50, 5000), 0), "seed " + seed);
        }
    }
}
