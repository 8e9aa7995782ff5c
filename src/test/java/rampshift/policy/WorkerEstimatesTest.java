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

/** Idleness, speed and load of workers by their reports and by observed attempts. */
class WorkerEstimatesTest {
    @Test
    void withoutAReportAWorkerWithoutOwnAttemptsIsIdle() {
        FakeHost host = new FakeHost().fleet(2);
        assertNotEquals(host.worker(host.task(NON_IDEMPOTENT), 0), host.worker(host.task(NON_IDEMPOTENT), 0));
    }

    /**
     * Guards against a default running time, derived from the latency objective, that is divided by the speed
     * of workers. One slow run among short ones makes workers look so slow that the type is rejected: by ten
     * runs of 1 ms and one of 100 a worker has a quarter of its speed, and 100 ms become 400, all the time
     * there is.
     */
    @Test
    void aTypeThatNeverRanIsNotRejectedWhereWorkersLookSlow() {
        FakeHost host = new FakeHost().fleet(1).runTasks(IDEMPOTENT, 10, 1).runTasks(IDEMPOTENT, 1, 100);
        long id = host.task(NON_IDEMPOTENT);
        assertEquals(0, host.count("reject " + id + " "));
        assertEquals(1, host.worker(id, 0));
    }

    /**
     * Guards against the use of the latency objective as the expected running time of an attempt whose start
     * was not reported: one worker looked many times as fast as the other, and all tasks queued there.
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
                "of two equal workers one got " + sentThere + ", the other " + sentElsewhere);
    }

    /**
     * A run of less than half a tick counts as half a tick. Guards against an expected running time without
     * that minimum: a worker that runs a type in 0.05 ms looks ten times as slow as it is, and a type that
     * runs longer is rejected.
     */
    @Test
    void runsBelowTheClockResolutionDoNotMakeTheirWorkerLookSlow() {
        FakeHost host = new FakeHost().fleet(1).runTasks(IDEMPOTENT, 80, 0.05);
        host.runTasks(NON_IDEMPOTENT, 1, 0.05).reportFreeSlots(1, 4);
        long id = host.hintedTask(NON_IDEMPOTENT, 60, 5000 - 170);
        assertEquals(1, host.worker(id, 0), "the task runs 60 ms, and 110 ms are left");
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
            assertEquals(3, host.worker(id, 0), "the others have a load of three times their slots");
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
        assertTrue(used.size() > 1, "reports are late and worker 1 is overloaded: " + used);
    }

    /**
     * Guards against workers that report idle slots without having any: 28 of 112 workers did so and got 28%
     * of the attempts, two thirds of which were rejected as full.
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
        assertTrue(sentThere <= 25, "by the reports most tasks would go there: " + sentThere + " of 40");
    }

    @Test
    void aTypesFirstFinishDoesNotMakeItsWorkerLookFast() {
        FakeHost host = new FakeHost().fleet(1).reportFreeSlots(1, 1).runTasks(NON_IDEMPOTENT, 1, 2);
        for (int i = 0; i < 30; i++) {
            host.task(IDEMPOTENT);
        }
        assertTrue(host.count("reject") >= 20, "one slot cannot run them all");
    }

    /**
     * Guards against lost attempts, as with one answer in six lost, that count as slow runs and taken slots.
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
        assertEquals(rejected, host.count("reject"), "no task is rejected once the attempts count as lost");
    }

    /**
     * Guards against a slow worker that is detected only when an attempt finishes, many running times later.
     */
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
     * Guards against confirmation of reports by starts alone: where none are reported, no report stays
     * trusted.
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
