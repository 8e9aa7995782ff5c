package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Idle candidates, hedged copies, cancellation, probes and further samples. */
class RedundantToIdleQueueTest {
    @Test
    void hedgesGoToIdleCandidatesAndTheFirstFinishCancelsTheRest() {
        FakeHost host = new FakeHost().fleet(4).runTasks(NON_IDEMPOTENT, 40, 50);
        long id = host.task(IDEMPOTENT);
        assertTrue(host.count("forward " + id + " ") >= 2, "saved-up tokens allow a hedged copy");
        host.started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        assertEquals(host.count("forward " + id + " ") - 1, host.count("cancel " + id + " "));
    }

    @Test
    void anIdleCandidateIsPreferredToABusyOne() {
        FakeHost host =
                new FakeHost().fleet(3).reportFreeSlots(1, 4).reportFreeSlots(2, 4).reportFreeSlots(3, 4);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            used.add(host.worker(host.task(NON_IDEMPOTENT), 0));
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
    }

    @Test
    void aWorkerThatDoesNotAnswerItsProbeCountsAsBusy() {
        FakeHost host = new FakeHost();
        host.settings.mayProbe = true;
        host.fleet(2);
        long id = host.task(NON_IDEMPOTENT);
        assertEquals(2, host.count("probe"));
        assertEquals(0, host.count("forward"));
        host.policy().onLoadReport(2, 3, Double.NaN, Double.NaN, Double.NaN);
        host.policy().onProbeResult(2, true);
        host.decide().after(15);
        assertEquals(2, host.worker(id, 0), "worker 1 has not answered");
    }

    @Test
    void aLargeFleetIsSampledAgainBeforeARejection() {
        FakeHost host = new FakeHost().fleet(18);
        for (int id = 1; id <= 16; id++) {
            host.policy().onLoadReport(id, 0, 30, Double.NaN, Double.NaN);
        }
        host.reportFreeSlots(17, 2).reportFreeSlots(18, 2);
        for (int i = 0; i < 10; i++) {
            host.task(NON_IDEMPOTENT);
        }
        host.after(0);
        assertTrue(host.count("forward 1 17 ") + host.count("forward 1 18 ") > 0 || host.count("reject") < 5,
                "two idle workers among sixteen full ones are found");
    }
}
