package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Where workers report no load: starts tell of their queues. */
class UnreportedLoadTest {
    private static FakeHost unreported(int workers) {
        FakeHost host = new FakeHost();
        host.settings.reportsLoad = false;
        return host.fleet(workers);
    }

    /**
     * Tasks that are placed once, one after the other; they begin late but at one worker. How many went
     * there.
     */
    private static int sentTo(FakeHost host, long quick, int tasks, double late, double run) {
        int there = 0;
        for (int i = 0; i < tasks; i++) {
            long id = host.task(NON_IDEMPOTENT);
            boolean soon = host.worker(id, 0) == quick;
            there += soon ? 1 : 0;
            host.after(soon ? 1 : late).started(id, 0).after(run).finished(id, 0, AttemptOutcome.FINISHED);
        }
        return there;
    }

    @Test
    void startsTellWhichWorkerIsBusy() {
        FakeHost host = unreported(2);
        sentTo(host, 2, 40, 150, 50);
        int good = sentTo(host, 2, 10, 150, 50);
        assertTrue(good >= 8, "tasks wait at worker 1: " + good);
    }

    @Test
    void aRejectionAsFullTellsOfALongWait() {
        FakeHost host = unreported(2).train(NON_IDEMPOTENT, 20, 50);
        for (int i = 0; i < 10; i++) {
            long id = host.task(NON_IDEMPOTENT);
            long full = host.worker(id, 0);
            host.finished(id, 0, AttemptOutcome.FULL).started(id, 1).after(50).finished(id, 1,
                    AttemptOutcome.FINISHED);
            long next = host.task(NON_IDEMPOTENT);
            assertNotEquals(full, host.worker(next, 0));
            host.started(next, 0).after(50).finished(next, 0, AttemptOutcome.FINISHED).train(NON_IDEMPOTENT,
                    4,
                    50);
        }
    }

    @Test
    void anAttemptCancelledUnstartedTellsOfItsWaitToo() {
        FakeHost host = unreported(2).train(NON_IDEMPOTENT, 4, 50);
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
    void workersAreProbedOnlyForTasksThatArePlacedOnce(int type, int probes) {
        FakeHost host = new FakeHost();
        host.settings.reportsLoad = false;
        host.settings.mayProbe = true;
        host.fleet(6).task(type);
        assertEquals(probes, host.count("probe"));
    }

    @Test
    void tasksOfAWorkerThatDrainedAndDiedAreRetriedWhereLawful() {
        FakeHost host = unreported(3).train(NON_IDEMPOTENT, 20, 50);
        long look = host.task(IDEMPOTENT);
        long dies = host.worker(look, 0);
        host.started(look, 0);
        host.change(dies, false, 0).finished(look, 0, AttemptOutcome.BROKEN);
        assertTrue(host.worker(look, 1) > 0 && host.worker(look, 1) != dies, "another takes it");
        long sale = host.task(NON_IDEMPOTENT);
        assertNotEquals(dies, host.worker(sale, 0));
        host.started(sale, 0).finished(sale, 0, AttemptOutcome.BROKEN);
        assertEquals(1, host.count("fail " + sale), "it may have run");
    }

    @Test
    void idleCandidatesAreDrawnInProportionToTheirListedSize() {
        FakeHost host = unreported(0);
        host.policy().onEndpointListBegin(EndpointListKind.FULL);
        for (int id = 1; id <= 4; id++) {
            host.policy().onEndpoint(new ListedWorker(id, 0, id, id, EndpointState.READY, host.longAgo(),
                    id == 1 ? 6 : 2));
        }
        host.policy().onEndpointListEnd();
        host.decide().train(IDEMPOTENT, 400, 50);
        long large = host.decisions.stream().filter(s -> s.startsWith("forward") && s.contains(" 1")
                && s.endsWith(" 1")).count();
        long all = host.count("forward");
        assertTrue(large > all * 0.35 && large < all * 0.65,
                "half of the fleet's size: " + large + " of " + all);
    }

    @Test
    void unstartedTasksQueueElsewherePastTheHedgeTokens() {
        FakeHost host = unreported(12).train(NON_IDEMPOTENT, 60, 50);
        int before = host.count("forward");
        for (int i = 0; i < 20; i++) {
            long id = host.task(IDEMPOTENT);
            host.after(40).started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
        int sent = host.count("forward") - before;
        assertTrue(sent >= 36, "nearly each at a second worker, not a fifth of them: " + sent);
    }

    @Test
    void wideTasksAreTakenWhileTasksStartAtOnce() {
        FakeHost host = unreported(3).train(NON_IDEMPOTENT, 40, 50);
        for (int i = 0; i < 3; i++) {
            host.started(host.task(NON_IDEMPOTENT), 0);
        }
        long id = host.wide(IDEMPOTENT, 4);
        assertEquals(0, host.count("reject " + id + " "), "a slot of ours at each worker is no queue");
    }

    @Test
    void waitsOfTheLastTasksRejectTheNextUntilTheyAreOld() {
        FakeHost host = unreported(6).train(IDEMPOTENT, 40, 50);
        long[] ids = new long[30];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = host.task(IDEMPOTENT);
        }
        host.after(300);
        for (long id : ids) {
            host.started(id, 0).finished(id, 0, AttemptOutcome.FINISHED);
        }
        long late = host.task(IDEMPOTENT);
        assertEquals(1, host.count("reject " + late + " "), "the last tasks waited longer than this one may");
        long later = host.after(2000).task(IDEMPOTENT);
        assertEquals(0, host.count("reject " + later + " "), "that is long ago");
    }

    @Test
    void aTaskThatIsPlacedOnceDrawsMoreWorkers() {
        FakeHost host = unreported(18);
        sentTo(host, 18, 500, 60, 5);
        int good = sentTo(host, 18, 30, 60, 5);
        assertTrue(good >= 20, "of six drawn it is one in a third of the draws: " + good);
    }
}
