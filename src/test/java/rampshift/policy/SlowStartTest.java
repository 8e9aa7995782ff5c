package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.KEYED;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Limits on the attempts sent to cold workers. */
class SlowStartTest {
    @Test
    void aFleetOfColdWorkersGetsItsPresentCapacity() {
        FakeHost host = new FakeHost();
        host.settings.slowStartInitialShare = 0.5;
        host.settings.slowStartDuration = Span.ofMillis(1_000_000);
        host.settings.slowStartMaxLoadMultiple = 2;
        host.settings.reportsLoad = false;
        host.fleet(0).relist(1, true, host.now() - 1).relist(2, true, host.now() - 1);
        host.runTasks(IDEMPOTENT, 100, 50);
        // The credit covers half of 2 (the load multiple) times 0.5 (the speed) of the tasks sent.
        assertTrue(host.count("forward") >= 40 && host.count("forward") <= 51,
                "sent " + host.count("forward"));
    }

    @ParameterizedTest
    @ValueSource(ints = {20, 300})
    void aColdWorkerGetsItsShareOfWhatTheDispatcherSends(int tasks) {
        FakeHost host = new FakeHost();
        host.settings.slowStartInitialShare = 0.5;
        host.settings.slowStartDuration = Span.ofMillis(1_000_000);
        host.settings.slowStartMaxLoadMultiple = 4;
        host.settings.reportsLoad = false;
        host.fleet(9).relist(10, true, host.now() - 1);
        host.runTasks(IDEMPOTENT, tasks, 50);
        long sentToCold = host.decisions.stream()
                .filter(decision -> decision.startsWith("forward") && decision.endsWith(" 10")).count();
        // The worker has half the speed and so half of a tenth of the capacity. Half of the load multiple of
        // four allows twice that: a tenth of the attempts at most.
        assertTrue(sentToCold <= tasks * 0.106 + 1 && sentToCold >= tasks / 100, sentToCold + " of " + tasks);
    }

    /**
     * All workers have queues, and a new worker is the best candidate at each of many dispatchers at once.
     */
    @Test
    void aNewWorkerIsNotOverloadedWhenAllDispatchersListItAtOnce() {
        int sentToCold = 0;
        for (int seed = 0; seed < 300; seed++) {
            FakeHost host = new FakeHost();
            host.settings.seed = seed;
            host.settings.slowStartInitialShare = 0.5;
            host.settings.slowStartDuration = Span.ofMillis(1_000_000);
            host.settings.slowStartMaxLoadMultiple = 4;
            host.settings.reportsLoad = false;
            host.fleet(9).runTasks(NON_IDEMPOTENT, 40, 50);
            for (int i = 0; i < 12; i++) {
                host.task(NON_IDEMPOTENT);
            }
            host.after(60).relist(10, true, host.now() - 1);
            for (int i = 0; i < 8; i++) {
                sentToCold += host.worker(host.task(NON_IDEMPOTENT), 0) == 10 ? 1 : 0;
            }
        }
        assertTrue(sentToCold > 10 && sentToCold <= 270,
                "eight attempts earn a credit of less than a mean run: " + sentToCold);
    }

    /**
     * Guards against cold workers that are sent 2.2 times their capacity while a fleet rejects half of its
     * attempts.
     */
    @Test
    void rejectedAttemptsEarnNoCredit() {
        FakeHost host = new FakeHost();
        host.settings.slowStartInitialShare = 0.5;
        host.settings.slowStartDuration = Span.ofMillis(1_000_000);
        host.settings.slowStartMaxLoadMultiple = 4;
        host.fleet(9).relist(10, true, host.now() - 1);
        int finished = 0;
        for (int i = 0; i < 400; i++) {
            for (int worker = 1; worker <= 10; worker++) {
                host.reportFreeSlots(worker, worker == 10 ? 8 : 0);
            }
            long id = host.task(NON_IDEMPOTENT);
            int last = 0;
            while (last < 3 && host.worker(id, last) != 10) {
                host.finished(id, last++, AttemptOutcome.FULL);
            }
            if (host.worker(id, last) > 0) {
                host.started(id, last).after(50).finished(id, last, AttemptOutcome.FINISHED);
                finished++;
            }
        }
        long sentToCold = host.decisions.stream()
                .filter(decision -> decision.startsWith("forward") && decision.endsWith(" 10")).count();
        assertTrue(sentToCold > 0 && sentToCold <= finished * 0.106 + 1,
                sentToCold + " for " + finished + " that ran");
    }

    /**
     * Guards against a cold worker that is sent 5.5 times its capacity by retries of tasks whose repeats are
     * dropped in one cell, where it is the only other worker. In incident i4f06f0, 25 of 33 attempts were
     * such retries, from 30 dispatchers. Each seed represents one dispatcher.
     */
    @Test
    void aTaskConfinedToItsDeduplicationScopeDoesNotAlwaysReachTheColdWorkerThere() {
        int overdue = 0;
        int retriedAtColdWorker = 0;
        for (int seed = 1; seed <= 60; seed++) {
            FakeHost host = new FakeHost();
            host.settings.seed = seed;
            host.settings.slowStartInitialShare = 0.5;
            host.settings.slowStartDuration = Span.ofMillis(600_000);
            host.settings.slowStartMaxLoadMultiple = 3;
            host.fleet(40);
            for (int id = 2; id <= 40; id += 2) {
                host.relist(id, true, host.now());
            }
            host.runTasks(NON_IDEMPOTENT, 40, 50);
            long id = host.hintedTask(KEYED, 20, 5000);
            if (host.worker(id, 0) % 2 == 1) {
                host.after(40);
                overdue++;
                retriedAtColdWorker += host.worker(id, 1) == host.worker(id, 0) + 1 ? 1 : 0;
            }
        }
        assertTrue(overdue > 20 && retriedAtColdWorker * 4 < overdue, retriedAtColdWorker + " of " + overdue);
    }

    @Test
    void warmUpSpeedFactorGrowsWithTheAgeOfTheProcess() {
        Settings settings = new Settings();
        settings.slowStartInitialShare = 0.2;
        settings.slowStartDuration = Span.ofMillis(1000);
        SlowStart slowStart = new SlowStart(new PolicyContext(settings, Moment.ofMillis(10_000)));
        Worker worker = new Worker(1);
        assertEquals(1, slowStart.warmUpSpeedFactor(worker), "the start time is not known");
        worker.startedAt = Moment.ofMillis(9500);
        assertEquals(0.6, slowStart.warmUpSpeedFactor(worker), 1e-9);
        worker.startedAt = Moment.ofMillis(9000);
        assertEquals(1, slowStart.warmUpSpeedFactor(worker), 1e-9);
    }

    @Test
    void aColdWorkerIsPermittedWhileThereIsCreditForIt() {
        Settings settings = new Settings();
        settings.slowStartInitialShare = 0.2;
        settings.slowStartDuration = Span.ofMillis(1000);
        settings.slowStartMaxLoadMultiple = 4;
        SlowStart slowStart = new SlowStart(new PolicyContext(settings, Moment.ofMillis(10_000)));
        Worker worker = new Worker(1);
        assertTrue(slowStart.permits(worker), "it is warm");
        worker.startedAt = Moment.ofMillis(9500);
        slowStart.onSweep(0.5);
        assertFalse(slowStart.permits(worker), "the credit starts below zero");
        slowStart.earnCredit(2);
        assertTrue(slowStart.permits(worker));
        slowStart.onAttemptSent(worker, 3);
        assertFalse(slowStart.permits(worker));
    }
}
