package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.time.Span;

/** The value of attempts: quotas, zone crossings, queues, lost types. */
class ExpectedValueTest {
    private static final int[] OTHER_ZONE = {1, 2, 0};

    @Test
    void aTenantBeyondItsQuotaQueuesLess() {
        int[] rejected = new int[2];
        for (int tenant = 0; tenant < 2; tenant++) {
            FakeHost host = new FakeHost();
            host.settings.overQuotaValueShare = 0.1;
            host.settings.tenantQuotas.add(1000.0);
            host.settings.tenantQuotas.add(1.0);
            host.fleet(1).runTasks(NON_IDEMPOTENT, 30, 100).reportFreeSlots(1, 2);
            for (int i = 0; i < 10; i++) {
                long id = host.task(NON_IDEMPOTENT, tenant);
                host.started(id, 0).after(100).finished(id, 0, AttemptOutcome.FINISHED);
            }
            for (int i = 0; i < 30; i++) {
                host.after(1);
                host.task(IDEMPOTENT, tenant);
            }
            rejected[tenant] = host.count("reject");
        }
        assertTrue(rejected[1] > rejected[0], rejected[0] + " and " + rejected[1]);
    }

    @Test
    void aCostlyZoneIsUsedOnlyWhenTheOwnZoneWouldBeLate() {
        FakeHost host = new FakeHost();
        host.settings.crossZoneCost = 0.2;
        host.policy().onEndpointListBegin(EndpointListKind.CACHED);
        host.policy().onEndpoint(new ListedWorker(1, 0, 1, 0, EndpointState.READY, host.warmStart(), 1));
        host.policy().onEndpoint(new ListedWorker(2, 1, 2, 0, EndpointState.READY, host.warmStart(), 1));
        host.policy().onEndpointListEnd();
        host.decide().reportFreeSlots(1, 2).reportFreeSlots(2, 2);
        assertEquals(1, host.worker(host.task(NON_IDEMPOTENT), 0));
        long last = 0;
        for (int i = 0; i < 8; i++) {
            last = host.task(NON_IDEMPOTENT);
        }
        assertFalse(
                host.decisions.stream()
                        .noneMatch(decision -> decision.startsWith("forward") && decision.endsWith(" 2")),
                "task " + last);
    }

    /**
     * Guards against a division by a total quota of zero, which made all values NaN and all candidates equal.
     */
    @Test
    void withoutAnyQuotaTheIdleCandidateIsStillTheBest() {
        FakeHost host = new FakeHost();
        host.settings.tenantQuotas.add(0.0);
        host.settings.overQuotaValueShare = 0;
        host.fleet(6).runTasks(NON_IDEMPOTENT, 40, 50);
        for (int i = 0; i < 10; i++) {
            for (int worker = 1; worker <= 5; worker++) {
                host.policy().onLoadReport(worker, 0, 30, Double.NaN, Double.NaN);
            }
            host.reportFreeSlots(6, 4);
            long id = host.task(NON_IDEMPOTENT);
            assertEquals(6, host.worker(id, 0));
            host.started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
    }

    @Test
    void tenantsWithinTheirQuotasHaveNoExcessAtABusyDispatcher() {
        FakeHost host = new FakeHost();
        host.settings.tenantQuotas.add(50.0);
        host.settings.tenantQuotas.add(50.0);
        host.settings.overQuotaValueShare = 0;
        host.fleet(6);
        for (int i = 0; i < 100; i++) {
            long id = host.after(1).task(NON_IDEMPOTENT, i % 2);
            host.started(id, 0).finished(id, 0, AttemptOutcome.FINISHED);
        }
        assertEquals(0, host.count("reject"), "1,000 tasks a second here are not 11,000 at all dispatchers");
    }

    @Test
    void aLongTaskDoesNotQueueWhereAShortOneWould() {
        FakeHost host = new FakeHost();
        host.settings.types.add(new TrafficType(1, 0, Span.ofMillis(4000), 3, Span.ofMillis(20_000),
                TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, null,
                null));
        host.fleet(1).runTasks(NON_IDEMPOTENT, 30, 50).runTasks(4, 3, 1000).reportFreeSlots(1, 2);
        host.task(NON_IDEMPOTENT);
        host.task(NON_IDEMPOTENT);
        long longTask = host.task(4);
        long shortTask = host.task(NON_IDEMPOTENT);
        assertEquals(1, host.count("reject " + longTask + " "), "all tasks behind it would be late");
        assertEquals(1, host.count("forward " + shortTask + " "));
    }

    /** Guards against all types avoiding a worker that starts no task of one traffic type. */
    @Test
    void onlyTheTypeThatAWorkerLosesGoesElsewhere() {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(1000);
        host.fleet(2).runTasks(NON_IDEMPOTENT, 40, 50).runTasks(IDEMPOTENT, 40, 50);
        long losingWorker = host.worker(host.task(NON_IDEMPOTENT), 0);
        for (int i = 0; i < 40; i++) {
            host.runTasks(IDEMPOTENT, 1, 50).policy().onProbeResult(losingWorker, true);
        }
        Set<Long> workersUsed = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            long id = host.task(NON_IDEMPOTENT);
            workersUsed.add(host.worker(id, 0));
            host.started(id, 0).after(10).finished(id, 0, AttemptOutcome.FINISHED);
        }
        assertEquals(Set.of(3 - losingWorker), workersUsed, "no task of the type goes there for now");
        workersUsed.clear();
        for (int i = 0; i < 6; i++) {
            workersUsed.add(host.worker(host.task(IDEMPOTENT), 0));
        }
        assertTrue(workersUsed.contains(losingWorker), "other types do");
    }

    /**
     * Crossing to another zone costs a twentieth of the value of a mean task. Where values scale with work, a
     * short task has a lower value than that.
     */
    @ParameterizedTest
    @CsvSource({"false,1", "true,0"})
    void whereValueScalesWithWorkAShortTaskIsWorthLessThanALongOne(boolean byWork, int shortTasksSent) {
        FakeHost host = new FakeHost();
        host.settings.valueScalesWithWork = byWork;
        host.settings.crossZoneCost = 0.05;
        host.listWorkers(OTHER_ZONE, OTHER_ZONE);
        for (int i = 0; i < 20; i++) {
            long id = host.hintedTask(IDEMPOTENT, 100, 5000);
            host.started(id, 0).after(100).finished(id, 0, AttemptOutcome.FINISHED);
        }
        assertEquals(1, host.count("forward " + host.hintedTask(NON_IDEMPOTENT, 100, 5000) + " "));
        host.after(300);
        assertEquals(shortTasksSent, host.count("forward " + host.hintedTask(NON_IDEMPOTENT, 2, 5000) + " "));
    }

    /**
     * Guards against the rejection of all tasks of clients with a quarter of the usual time. None would end
     * in time by the mean running time, but most tasks run far shorter.
     */
    @Test
    void aTaskWithLittleTimeIsComparedWithTheLastRunsOfItsType() {
        FakeHost host = new FakeHost().fleet(2);
        for (int i = 0; i < 16; i++) {
            long id = host.task(IDEMPOTENT);
            host.started(id, 0).after(i % 4 == 0 ? 400 : 20).finished(id, 0, AttemptOutcome.FINISHED);
            host.finished(id, 1, AttemptOutcome.CALLED_OFF).finished(id, 2, AttemptOutcome.CALLED_OFF);
        }
        host.task(IDEMPOTENT, 0, 60);
        host.after(100);
        long id = host.task(IDEMPOTENT, 0, 60);
        assertTrue(host.count("forward " + id + " ") > 0, "three of four tasks run shorter");
    }
}
