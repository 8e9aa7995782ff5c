package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rampshift.time.Span;

/** Sampling of candidates. */
class CandidateSamplerTest {
    private static final TrafficType.Effect IDEMPOTENT_EFFECT = TrafficType.Effect.IDEMPOTENT;
    private static final int[] OWN_ZONE = {0, 1, 0};
    private static final int[] OWN_ZONE_OTHER_KIND = {0, 1, 1};

    private static int workersUsed(double handshakeCost, double idleMs) {
        FakeHost host = new FakeHost();
        host.settings.handshakeCost = handshakeCost;
        host.settings.connectionIdleTimeout = Span.ofMillis(idleMs);
        host.fleet(40);
        for (int worker = 1; worker <= 40; worker++) {
            host.reportFreeSlots(worker, 4);
        }
        Set<Long> usedWorkers = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            long id = host.after(30).task(NON_IDEMPOTENT);
            usedWorkers.add(host.worker(id, 0));
            host.started(id, 0).after(20).finished(id, 0, AttemptOutcome.FINISHED);
        }
        return usedWorkers.size();
    }

    /**
     * Guards against a new connection for nearly each task, as in a fleet of 60 with a task a second for each
     * dispatcher.
     */
    @Test
    void amongIdleWorkersOneWithAnIdleConnectionIsPreferred() {
        assertTrue(workersUsed(0.03, 5000) <= 5);
        assertTrue(workersUsed(0, 5000) > 15, "where new connections cost nothing all workers are sampled");
        assertTrue(workersUsed(0.03, 25) > 15, "a connection idle for longer is closed");
    }

    /**
     * Guards against the rejection of one in ten tasks of a constrained type while other tasks queue at the
     * few workers that it may go to.
     */
    @Test
    void unconstrainedTasksAvoidLoadedWorkersOfConstrainedTypes() {
        int[] probes = new int[2];
        for (int full = 0; full < 2; full++) {
            FakeHost host = new FakeHost();
            host.settings.mayProbe = true;
            host.addType(IDEMPOTENT_EFFECT, TrafficType.DeduplicationScope.ALL, null, Set.of(1));
            host.listWorkers(OWN_ZONE, OWN_ZONE_OTHER_KIND, OWN_ZONE, OWN_ZONE_OTHER_KIND, OWN_ZONE,
                    OWN_ZONE_OTHER_KIND, OWN_ZONE, OWN_ZONE_OTHER_KIND);
            for (int round = 0; round < 8; round++) {
                for (long id = 1; id <= 8; id++) {
                    double running = id % 2 == 0 && full == 1 ? 2 : 0;
                    host.policy().onLoadReport(id, 4 - running, Double.NaN, running, Double.NaN);
                }
                host.after(200);
            }
            host.after(5000);
            for (int i = 0; i < 40; i++) {
                host.task(NON_IDEMPOTENT);
                host.after(2000);
            }
            probes[full] = (int) host.decisions.stream().filter(decision -> decision.matches("probe [2468]"))
                    .count();
        }
        assertTrue(probes[1] > 0 && probes[1] * 2 < probes[0],
                "fewer probes, but some: " + probes[0] + ", " + probes[1]);
    }
}
