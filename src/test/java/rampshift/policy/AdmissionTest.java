package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Span;

/** Which tasks are rejected. */
class AdmissionTest {
    @Test
    void withoutWorkersATaskIsRejectedAtOnceWithARetryAfterHint() {
        FakeHost host = new FakeHost().fleet(0);
        long id = host.task(NON_IDEMPOTENT);
        assertEquals(1, host.count("reject " + id + " later"));
    }

    @Test
    void aTaskThatWouldBeLateInTheQueueIsRejected() {
        FakeHost host = new FakeHost().fleet(1).runTasks(NON_IDEMPOTENT, 30, 100);
        host.reportFreeSlots(1, 1);
        for (int i = 0; i < 30; i++) {
            host.task(IDEMPOTENT);
        }
        assertTrue(host.count("reject") >= 20, "one slot cannot run them all");
        assertTrue(host.count("forward") > 30, "some are accepted");
    }

    @ParameterizedTest
    @CsvSource({"0,0", "0.2,1"})
    void whereLateTasksWeighInTheGoalATaskThatIsLikelyLateIsRejected(double lateShareWeight, int rejections) {
        FakeHost host = new FakeHost();
        host.settings.lateShareWeight = lateShareWeight;
        host.fleet(1).runTasks(NON_IDEMPOTENT, 40, 100);
        host.task(NON_IDEMPOTENT, 0, 5000 - 312);     // 88 ms are left for a run of 100
        assertEquals(rejections, host.count("reject"),
                "the task ends in time with a probability of about a third");
    }

    /**
     * Guards against a fleet short of capacity that serves all types alike: 64% of its attempts were
     * rejected, and only 76% of the tasks of the most valuable type were served.
     */
    @ParameterizedTest
    @CsvSource({"0,0", "10,0", "10,1"})
    void aTaskBelowItsOpportunityCostIsRejectedWhereCapacityIsShort(int fullRejections, int highValue) {
        FakeHost host = new FakeHost();
        host.settings.types.add(new TrafficType(8, 0, Span.ofMillis(100), 3, Span.ofMillis(5000),
                TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ofMillis(1000),
                null, null));
        host.fleet(6).runTasks(4, 30, 50).runTasks(NON_IDEMPOTENT, 30, 50);
        for (int i = 0; i < fullRejections; i++) {
            long id = host.task(4);
            for (int n = 0; host.worker(id, n) > 0; n++) {
                host.finished(id, n, AttemptOutcome.FULL);
            }
        }
        host.decisions.clear();
        long id = host.task(highValue == 1 ? 4 : NON_IDEMPOTENT);
        assertEquals(fullRejections > 0 && highValue == 0 ? 1 : 0, host.count("reject " + id + " "));
        host.after(3000);
        long later = host.task(NON_IDEMPOTENT);
        assertTrue(host.worker(later, 0) > 0, "the share of rejections decays");
    }

    /**
     * Guards against a type that is rejected for good, 600 of 600 tasks in a minute by idle workers, after
     * one run longer than its latency objective. A rejected type never runs, so that its running time is not
     * measured again.
     */
    @Test
    void aTypeWhoseOnlyRunWasTooSlowIsTriedAgain() {
        FakeHost host = new FakeHost();
        int type = host.addType(TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, 0);
        host.fleet(4).runTasks(type, 1, 150);
        int sent = 0;
        for (int i = 0; i < 600; i++) {
            long id = host.after(100).task(type);
            if (host.worker(id, 0) > 0) {
                host.started(id, 0).after(5).finished(id, 0, AttemptOutcome.FINISHED);
                sent++;
            }
        }
        assertTrue(sent >= 550, "sent: " + sent + " of 600");
    }

    /** While the fleet is too slow for the type, only a few of its tasks are sent to measure it again. */
    @Test
    void aTypeThatIsAlwaysLateIsTriedRarely() {
        FakeHost host = new FakeHost();
        int type = host.addType(TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, 0);
        host.fleet(4).runTasks(type, 10, 150);
        int sent = 0;
        for (int i = 0; i < 600; i++) {
            long id = host.after(100).task(type);
            if (host.worker(id, 0) > 0) {
                host.started(id, 0).after(150).finished(id, 0, AttemptOutcome.FINISHED);
                sent++;
            }
        }
        assertTrue(sent <= 60, "sent: " + sent + " of 600");
    }

    /**
     * Guards against a mean running time that is taken, before any task has run, from the first type of the
     * settings: here from its objective of a minute.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theOrderOfTypesDoesNotAffectTheRetryAfterHint(boolean longFirst) {
        FakeHost host = new FakeHost();
        TrafficType shortType = host.settings.types.get(NON_IDEMPOTENT);
        TrafficType longType = new TrafficType(1, 0, Span.ofMillis(60_000), 0, Span.ofMillis(120_000),
                TrafficType.Effect.IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, null, null);
        host.settings.types.clear();
        host.settings.types.addAll(longFirst ? List.of(longType, shortType) : List.of(shortType, longType));
        host.settings.maxRetryAfter = Span.ofMillis(100_000);
        host.fleet(0).task(longFirst ? 1 : 0);
        assertFalse(host.lastRetryAfter().longerThan(Span.ofMillis(200)), host.lastRetryAfter().toString());
    }

    /** Guards against the rejection of all tasks when most clients wait a third as long as usual. */
    @Test
    void tasksOfClientsWithShortTimeoutsAreAcceptedAndLateRetriesAreNot() {
        FakeHost host = new FakeHost().fleet(6).runTasks(NON_IDEMPOTENT, 40, 50);
        int rejections = 0;
        for (int i = 0; i < 20; i++) {
            long id = host.task(NON_IDEMPOTENT, 0, 1500);
            rejections += host.count("reject " + id + " ");
            host.started(id, 0).after(50).finished(id, 0, AttemptOutcome.FINISHED);
        }
        assertTrue(rejections <= 1, "rejected: " + rejections);
        assertEquals(1, host.count("reject " + host.task(NON_IDEMPOTENT, 0, 20) + " "),
                "no worker can be that fast");
        FakeHost busy = new FakeHost().fleet(1).runTasks(NON_IDEMPOTENT, 40, 50).reportFreeSlots(1, 0);
        for (int i = 0; i < 40; i++) {
            busy.task(NON_IDEMPOTENT);
        }
        assertTrue(busy.count("reject") > 20, "an overload");
        assertEquals(1, busy.count("reject " + busy.task(NON_IDEMPOTENT, 0, 1500) + " "), "a retry");
    }

    /**
     * Tasks of one type may have very different running times. Estimated by type alone, 17% of the tasks of
     * an unloaded fleet were rejected and 18% late.
     */
    @Test
    void aTaskWhoseHintExceedsItsRemainingTimeIsRejected() {
        FakeHost host = new FakeHost().fleet(2).runTasks(IDEMPOTENT, 20, 50);
        long shortTask = host.hintedTask(IDEMPOTENT, 20, 5000);
        host.started(shortTask, 0).after(20).finished(shortTask, 0, AttemptOutcome.FINISHED);
        long longTask = host.hintedTask(IDEMPOTENT, 15_000, 5000);
        assertTrue(host.count("forward " + shortTask + " ") > 0);
        assertEquals(0, host.count("forward " + longTask + " "));
        assertEquals(1, host.count("reject " + longTask + " "));
    }

    /** Guards against a fleet short of capacity that spends a quarter of its work on late answers. */
    @ParameterizedTest
    @CsvSource({"0,true,1", "0,false,0", "2,true,0"})
    void aLateTaskWithoutValueIsCancelledWhereOthersWaitForItsSlots(int type, boolean isFull, int rejected) {
        FakeHost host = new FakeHost().fleet(1).runTasks(NON_IDEMPOTENT, 20, 50).reportFreeSlots(1, 1);
        long id = host.hintedTask(type, 50, 5000);
        host.started(id, 0);
        for (int i = 0; i < 20; i++) {
            host.policy().onLoadReport(1, isFull ? 0 : 3, isFull ? 3 : 0, 1, Double.NaN);
            host.after(30);
        }
        assertEquals(rejected, host.count("reject " + id + " later"));
        assertEquals(rejected, host.count("cancel " + id + " 0"));
        assertEquals(0, host.count("fail " + id + " "));
    }
}
