package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Workers that report no load: start delays show their queues. */
class UnreportedLoadTest {
    private static FakeHost withoutLoadReports(int workers) {
        FakeHost host = new FakeHost();
        host.settings.reportsLoad = false;
        return host.fleet(workers);
    }

    /**
     * Runs tasks that can't be hedged one after another; they start late at all workers but one. Returns how
     * many were sent to that one.
     */
    private static int countSentTo(FakeHost host, long quickWorker, int tasks, double delayMs, double runMs) {
        int sentToQuickWorker = 0;
        for (int i = 0; i < tasks; i++) {
            long id = host.task(NON_IDEMPOTENT);
            boolean startsSoon = host.worker(id, 0) == quickWorker;
            sentToQuickWorker += startsSoon ? 1 : 0;
            host.after(startsSoon ? 1 : delayMs).started(id, 0).after(runMs).finished(id, 0,
                    AttemptOutcome.FINISHED);
        }
        return sentToQuickWorker;
    }

    @Test
    void startDelaysShowWhichWorkerIsBusy() {
        FakeHost host = withoutLoadReports(2);
        countSentTo(host, 2, 40, 150, 50);
        int sentToQuickWorker = countSentTo(host, 2, 10, 150, 50);
        assertTrue(sentToQuickWorker >= 8, "tasks queue at worker 1: " + sentToQuickWorker);
    }

    @Test
    void aRejectionAsFullCountsAsALongStartDelay() {
        FakeHost host = withoutLoadReports(2).runTasks(NON_IDEMPOTENT, 20, 50);
        for (int i = 0; i < 10; i++) {
            long id = host.task(NON_IDEMPOTENT);
            long full = host.worker(id, 0);
            host.finished(id, 0, AttemptOutcome.FULL).started(id, 1).after(50).finished(id, 1,
                    AttemptOutcome.FINISHED);
            long next = host.task(NON_IDEMPOTENT);
            assertNotEquals(full, host.worker(next, 0));
            host.started(next, 0).after(50).finished(next, 0, AttemptOutcome.FINISHED).runTasks(
                    NON_IDEMPOTENT,
                    4,
                    50);
        }
    }

    @Test
    void anAttemptCancelledBeforeItsStartCountsAsAStartDelay() {
        FakeHost host = withoutLoadReports(2).runTasks(NON_IDEMPOTENT, 4, 50);
        long id = host.task(IDEMPOTENT);
        long busy = host.worker(id, 0);
        host.after(40).started(id, 1).finished(id, 0, AttemptOutcome.CALLED_OFF).finished(id, 1,
                AttemptOutcome.FINISHED);
        for (int i = 0; i < 5; i++) {
            long next = host.task(NON_IDEMPOTENT);
            assertNotEquals(busy, host.worker(next, 0));
            host.started(next, 0).finished(next, 0, AttemptOutcome.FINISHED);
        }
    }

    @ParameterizedTest
    @CsvSource({"0,0", "2,2"})
    void workersAreProbedOnlyForTasksThatCannotBeHedged(int type, int probes) {
        FakeHost host = new FakeHost();
        host.settings.reportsLoad = false;
        host.settings.mayProbe = true;
        host.fleet(6).task(type);
        assertEquals(probes, host.count("probe"));
    }

    @Test
    void tasksOfAWorkerThatDrainedAndDiedAreRetriedWhereAllowed() {
        FakeHost host = withoutLoadReports(3).runTasks(NON_IDEMPOTENT, 20, 50);
        long idempotent = host.task(IDEMPOTENT);
        long failedWorker = host.worker(idempotent, 0);
        host.started(idempotent, 0);
        host.relist(failedWorker, false, 0).finished(idempotent, 0, AttemptOutcome.BROKEN);
        assertTrue(host.worker(idempotent, 1) > 0 && host.worker(idempotent, 1) != failedWorker,
                "another worker is sent the retry");
        long nonIdempotent = host.task(NON_IDEMPOTENT);
        assertNotEquals(failedWorker, host.worker(nonIdempotent, 0));
        host.started(nonIdempotent, 0).finished(nonIdempotent, 0, AttemptOutcome.BROKEN);
        assertEquals(1, host.count("fail " + nonIdempotent), "it may have run");
    }

    @Test
    void idleCandidatesAreChosenInProportionToTheirListedWeight() {
        FakeHost host = withoutLoadReports(0);
        host.policy().onEndpointListBegin(EndpointListKind.FULL);
        for (int id = 1; id <= 4; id++) {
            host.policy().onEndpoint(new ListedWorker(id, 0, id, id, EndpointState.READY, host.warmStart(),
                    id == 1 ? 6 : 2));
        }
        host.policy().onEndpointListEnd();
        host.decide().runTasks(IDEMPOTENT, 400, 50);
        long large = host.decisions.stream()
                .filter(decision -> decision.startsWith("forward") && decision.contains(" 1")
                        && decision.endsWith(" 1"))
                .count();
        long all = host.count("forward");
        assertTrue(large > all * 0.35 && large < all * 0.65,
                "worker 1 has half of the listed weight of the fleet: " + large + " of " + all);
    }

    @Test
    void unstartedTasksAreRetriedBeyondTheTokensForHedges() {
        FakeHost host = withoutLoadReports(12).runTasks(NON_IDEMPOTENT, 60, 50);
        int before = host.count("forward");
        for (int i = 0; i < 20; i++) {
            long id = host.task(IDEMPOTENT);
            host.after(40).started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
        int sent = host.count("forward") - before;
        assertTrue(sent >= 36, "nearly each task is retried, not a fifth of them: " + sent);
    }

    @Test
    void wideTasksAreAcceptedWhileTasksStartAtOnce() {
        FakeHost host = withoutLoadReports(3).runTasks(NON_IDEMPOTENT, 40, 50);
        for (int i = 0; i < 3; i++) {
            host.started(host.task(NON_IDEMPOTENT), 0);
        }
        long id = host.wideTask(IDEMPOTENT, 4);
        assertEquals(0, host.count("reject " + id + " "), "one own attempt at each worker is no queue");
    }

    @Test
    void longStartDelaysRejectTasksUntilTheyDecay() {
        FakeHost host = withoutLoadReports(6).runTasks(IDEMPOTENT, 40, 50);
        long[] ids = new long[30];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = host.task(IDEMPOTENT);
        }
        host.after(300);
        for (long id : ids) {
            host.started(id, 0).finished(id, 0, AttemptOutcome.FINISHED);
        }
        long lateTask = host.task(IDEMPOTENT);
        assertEquals(1, host.count("reject " + lateTask + " "),
                "the last tasks queued longer than this one may");
        long later = host.after(2000).task(IDEMPOTENT);
        assertEquals(0, host.count("reject " + later + " "), "the start delays have decayed");
    }

    @Test
    void aTaskThatCannotBeHedgedSamplesMoreWorkers() {
        FakeHost host = withoutLoadReports(18);
        countSentTo(host, 18, 500, 60, 5);
        int sentToQuickWorker = countSentTo(host, 18, 30, 60, 5);
        assertTrue(sentToQuickWorker >= 20,
                "a sample of six workers holds it in a third of all samples: " + sentToQuickWorker);
    }
}
