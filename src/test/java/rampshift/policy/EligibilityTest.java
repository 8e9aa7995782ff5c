package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.KEYED;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Span;

/** Side effects, deduplication window, draining, placement and retry budget. */
class EligibilityTest {
    private static final TrafficType.Effect IDEMPOTENT_EFFECT = TrafficType.Effect.IDEMPOTENT;
    private static final int[] OWN_ZONE = {0, 1, 0};
    private static final int[] OTHER_ZONE = {1, 2, 0};
    private static final int[] OWN_ZONE_OTHER_KIND = {0, 1, 1};

    @ParameterizedTest
    @EnumSource(value = AttemptOutcome.class, mode = EnumSource.Mode.EXCLUDE, names = {"FINISHED",
            "NOT_SENT"})
    void aNonIdempotentTaskIsRetriedOnlyWhenItNeverRan(AttemptOutcome outcome) {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(NON_IDEMPOTENT);
        host.finished(id, 0, outcome);
        assertEquals(outcome.neverRan ? 2 : 1, host.count("forward " + id + " "));
        assertEquals(outcome.neverRan ? 0 : 1, host.count("fail " + id + " "));
        assertEquals(0, host.count("reject"));
    }

    @Test
    void aKeyedTaskStaysInItsDeduplicationScope() {
        FakeHost host = new FakeHost().fleet(8);
        long id = host.task(KEYED);
        host.finished(id, 0, AttemptOutcome.ERRED);
        assertEquals((host.worker(id, 0) + 1) / 2, (host.worker(id, 1) + 1) / 2);
    }

    @Test
    void aKeyedTaskIsNotRetriedAfterItsDeduplicationWindow() {
        FakeHost host = new FakeHost().fleet(8);
        long id = host.task(KEYED);
        host.started(id, 0);
        host.after(1100);
        int sent = host.count("forward " + id + " ");
        for (int n = 0; n < sent; n++) {
            host.finished(id, n, AttemptOutcome.BROKEN);
        }
        assertEquals(sent, host.count("forward " + id + " "));
        assertEquals(1, host.count("fail " + id + " "),
                "it may have run, and a rejection is no longer allowed");
    }

    @Test
    void anIdempotentTaskIsRetriedAfterAnErrorUpToTheLimit() {
        FakeHost host = new FakeHost().fleet(8);
        long id = host.task(IDEMPOTENT);
        for (int n = 0; n < 6; n++) {
            host.finished(id, n, AttemptOutcome.ERRED);
        }
        assertTrue(host.count("forward " + id + " ") > 1);
        assertTrue(host.count("forward " + id + " ") <= host.settings.maxAttempts);
        assertEquals(1, host.count("reject " + id + " "));
    }

    @Test
    void noAttemptGoesToADrainingOrRemovedWorker() {
        FakeHost host = new FakeHost().fleet(3).relist(2, false, 0);
        for (int i = 0; i < 20; i++) {
            assertNotEquals(2, host.worker(host.task(NON_IDEMPOTENT), 0));
        }
        host.policy().onEndpointListBegin(EndpointListKind.FULL);
        host.policy().onEndpoint(new ListedWorker(3, 0, 2, 0, EndpointState.READY, host.warmStart(), 1));
        host.policy().onEndpointListEnd();
        long id = host.task(NON_IDEMPOTENT);
        assertTrue(host.worker(id, 0) == 3 || host.worker(id, 0) == -1);
    }

    @ParameterizedTest
    @CsvSource({"REMOVED,true,true", "REMOVED,false,false", "DRAINING,true,false"})
    void aRemovedWorkerThatIsHeardFromIsSentToWhereRemovalIsAdvisory(EndpointState state, boolean advisory,
            boolean sent) {
        FakeHost host = new FakeHost();
        host.settings.removalIsAdvisory = advisory;
        long id = host.fleet(1).task(NON_IDEMPOTENT);
        host.relist(1, state, 0).task(NON_IDEMPOTENT);
        assertEquals(1, host.count("forward"), "the worker was not heard from since");
        host.started(id, 0).task(NON_IDEMPOTENT);
        assertEquals(sent ? 2 : 1, host.count("forward"));
    }

    @Test
    void aWorkerThatDrainedBeforeItWasRemovedIsNotSentTo() {
        FakeHost host = new FakeHost();
        host.settings.removalIsAdvisory = true;
        long id = host.fleet(1).task(NON_IDEMPOTENT);
        host.relist(1, EndpointState.DRAINING, 0).relist(1, EndpointState.REMOVED, 0)
                .started(id, 0)
                .task(NON_IDEMPOTENT);
        assertEquals(1, host.count("forward"));
    }

    private static FakeHost withRetryBudget() {
        FakeHost host = new FakeHost();
        host.settings.retryBudgetMinimum = 2;
        host.settings.retryBudgetRatio = 0.1;
        host.settings.retryBudgetWindow = Span.ofMillis(5000);
        return host;
    }

    /** Returns the task and the number of the attempt that the decision sends; empty for other decisions. */
    private static List<long[]> forwarded(String decision, Map<Long, Integer> sent) {
        String[] words = decision.split(" ");
        if (!words[0].equals("forward")) {
            return List.of();
        }
        long id = Long.parseLong(words[1]);
        return List.of(new long[]{id, sent.merge(id, 1, Integer::sum) - 1});
    }

    /** Guards against attempts beyond the budget, such as 3 further attempts where 6 tasks allow 2.6. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void furtherAttemptsStayWithinTheBudgetOfAnyWindow(int seed) {
        Random random = new Random(seed);
        FakeHost host = withRetryBudget().fleet(12);
        List<Double> arrivals = new ArrayList<>();
        Map<String, Double> furtherAttempts = new LinkedHashMap<>(); // by "task number", when it was sent
        Map<Long, Integer> sent = new HashMap<>();
        List<long[]> inFlight = new ArrayList<>();
        int decisionsRead = 0;
        int maxUsed = 0;
        for (int i = 0; i < 4000; i++) {
            host.after(random.nextDouble() < 0.02 ? 3000 * random.nextDouble() : 20 * random.nextDouble());
            if (random.nextDouble() < 0.3 || inFlight.isEmpty()) {
                arrivals.add(host.now());
                host.task(random.nextInt(4));
            } else {
                long[] attempt = inFlight.remove(random.nextInt(inFlight.size()));
                AttemptOutcome outcome =
                        AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                if (outcome == AttemptOutcome.NOT_SENT) {
                    furtherAttempts.remove(attempt[0] + " " + attempt[1]);
                }
                host.finished(attempt[0], (int) attempt[1], outcome);
            }
            for (; decisionsRead < host.decisions.size(); decisionsRead++) {
                for (long[] attempt : forwarded(host.decisions.get(decisionsRead), sent)) {
                    inFlight.add(attempt);
                    if (attempt[1] > 0) {
                        furtherAttempts.put(attempt[0] + " " + attempt[1], host.now());
                    }
                }
            }
            double from = host.now() - 5000;
            long used = furtherAttempts.values().stream().filter(at -> at > from).count();
            double allowed = 2 + 0.1 * arrivals.stream().filter(at -> at > from).count();
            boolean justNow = furtherAttempts.containsValue(host.now());
            assertTrue(!justNow || used <= allowed, used + " of " + allowed + " at step " + i);
            maxUsed = Math.max(maxUsed, (int) used);
        }
        assertTrue(maxUsed >= 3, "the budget is used: " + maxUsed);
    }

    @Test
    void aBurstOfOneTypesRetriesLeavesBudgetForAnotherType() {
        FakeHost host = withRetryBudget().fleet(12);
        for (int i = 0; i < 30; i++) {
            long id = host.after(50).task(IDEMPOTENT);
            host.finished(id, 0, AttemptOutcome.FULL).finished(id, 1, AttemptOutcome.FINISHED);
        }
        long keyed = host.after(50).task(KEYED);
        host.finished(keyed, 0, AttemptOutcome.FULL);
        assertTrue(host.worker(keyed, 1) > 0, "it is retried");
    }

    @Test
    void aTaskBeyondTheBudgetIsAnsweredAtOnce() {
        FakeHost host = withRetryBudget().fleet(12);
        for (int i = 0; i < 6; i++) {
            long id = host.task(IDEMPOTENT);
            host.finished(id, 0, AttemptOutcome.FULL).finished(id, 1, AttemptOutcome.FULL).finished(id, 2,
                    AttemptOutcome.FULL);
        }
        assertTrue(host.count("reject") >= 4, host.decisions.toString());
    }

    /** Sends the endpoint list entry of worker 4 that belongs to the change, if any. */
    private static void applyListChange(FakeHost host, String change) {
        switch (change) {
            case "drains" -> host.listWorker(4, 1, 2, 0, EndpointState.DRAINING, 0);
            case "gone" -> host.listWorker(4, 1, 2, 0, EndpointState.REMOVED, 0);
            case "is listed elsewhere" -> host.listWorker(4, 0, 2, 0, EndpointState.READY, 0);
            case "is listed as another kind" -> host.listWorker(4, 1, 2, 1, EndpointState.READY, 0);
            default -> {
            }
        }
    }

    /**
     * Guards against attempts outside the placement, where 29 of 100 tasks of a constrained type were sent.
     * The only allowed worker is ready at first; then the event changes it.
     */
    @ParameterizedTest
    @CsvSource({"drains", "gone", "is cold", "is full", "is silent", "errs", "is listed elsewhere",
            "is listed as another kind"})
    void aConstrainedTaskIsSentOnlyToItsAllowedWorkerWhateverHappensThere(String event) {
        FakeHost host = new FakeHost();
        host.settings.slowStartInitialShare = 0.1;
        host.settings.slowStartDuration = Span.ofMillis(60_000);
        int type = host.addType(IDEMPOTENT_EFFECT, TrafficType.DeduplicationScope.ALL, Set.of(1), Set.of(0));
        host.listWorkers(OWN_ZONE, OWN_ZONE, OWN_ZONE_OTHER_KIND, OTHER_ZONE, new int[]{1, 2, 1})
                .runTasks(IDEMPOTENT, 20, 50);
        if (event.equals("is cold")) {
            host.listWorker(4, 1, 2, 0, EndpointState.READY, host.now());
        }
        for (int i = 0; i < 12; i++) {
            long id = host.task(type);
            if (i == 3) {
                applyListChange(host, event);
            }
            switch (event) {
                case "is full" -> host.finished(id, 0, AttemptOutcome.FULL);
                case "errs" -> host.finished(id, 0, AttemptOutcome.ERRED);
                case "is silent" -> host.after(400);
                default -> host.started(id, 0).after(40).finished(id, 0, AttemptOutcome.FINISHED);
            }
        }
        host.after(5000);
        List<String> constrained = host.decisions.stream()
                .filter(decision -> decision.startsWith("forward ")
                        && Long.parseLong(decision.split(" ")[1]) > 20)
                .toList();
        assertEquals(List.of(), constrained.stream().filter(decision -> !decision.endsWith(" 4")).toList());
        assertTrue(event.equals("is cold") || !constrained.isEmpty(), "tasks are sent there at first");
        long after = host.task(type);
        if ((event.endsWith("s") && !event.equals("errs")) || event.equals("gone")
                || event.startsWith("is listed")) {
            assertEquals(1, host.count("reject " + after + " later"),
                    "rejected at once, with a Retry-After hint");
        }
    }

    @Test
    void hedgesObeyThePlacement() {
        FakeHost host = new FakeHost();
        int type = host.addType(IDEMPOTENT_EFFECT, TrafficType.DeduplicationScope.ALL, null, Set.of(1));
        host.listWorkers(OWN_ZONE, OWN_ZONE, OWN_ZONE, OWN_ZONE_OTHER_KIND, OWN_ZONE, OWN_ZONE_OTHER_KIND)
                .runTasks(NON_IDEMPOTENT, 40, 50);
        Set<Long> used = new HashSet<>();
        int maxUsed = 0;
        for (int i = 0; i < 10; i++) {
            long id = host.task(type);
            maxUsed = Math.max(maxUsed, host.count("forward " + id + " "));
            host.started(id, 0);
            for (int n = 0; host.worker(id, n) > 0; n++) {
                used.add(host.worker(id, n));
            }
            host.after(50).finished(id, 0, AttemptOutcome.FINISHED).finished(id, 1,
                    AttemptOutcome.CALLED_OFF);
        }
        assertEquals(Set.of(4L, 6L), used);
        assertEquals(2, maxUsed, "hedges are sent");
    }

    @Test
    void aConstrainedTaskThatMayHaveRunFailsWhereNoAllowedWorkerIsLeft() {
        FakeHost host = new FakeHost();
        int type = host.addType(TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL,
                Set.of(1), null);
        host.listWorkers(OWN_ZONE, OWN_ZONE, OWN_ZONE, OTHER_ZONE);
        long id = host.task(type);
        assertEquals(4, host.worker(id, 0));
        host.listWorker(4, 1, 2, 0, EndpointState.DRAINING, 0).finished(id, 0, AttemptOutcome.BROKEN)
                .after(5000);
        assertEquals(1, host.count("forward " + id + " "));
        assertEquals(0, host.count("reject " + id + " "));
        assertEquals(1, host.count("fail " + id + " "));
    }

    /**
     * The other worker of the cell is not allowed, and the other allowed workers are in other cells. After an
     * attempt that may have run, only the same worker is left.
     */
    @Test
    void aKeyedTaskIsRetriedNeitherOutsideItsDeduplicationScopeNorItsPlacement() {
        FakeHost host = new FakeHost();
        int type =
                host.addType(TrafficType.Effect.KEYED, TrafficType.DeduplicationScope.CELL, null, Set.of(1));
        host.listWorkers(OWN_ZONE, OWN_ZONE_OTHER_KIND, new int[]{0, 2, 1}, new int[]{0, 3, 1})
                .runTasks(NON_IDEMPOTENT, 20, 50);
        for (int i = 0; i < 10; i++) {
            long id = host.task(type);
            host.finished(id, 0, AttemptOutcome.BROKEN).after(200);
            for (int n = 0; host.worker(id, n) > 0; n++) {
                assertEquals(host.worker(id, 0), host.worker(id, n));
            }
            assertNotEquals(1, host.worker(id, 0));
        }
    }

    /** The worker is sampled and probed, and its kind changes before the answer to the probe. */
    @Test
    void aWorkerRelistedAsAnotherKindAfterSamplingGetsNoConstrainedTask() {
        FakeHost host = new FakeHost();
        host.settings.mayProbe = true;
        int type = host.addType(IDEMPOTENT_EFFECT, TrafficType.DeduplicationScope.ALL, null, Set.of(1));
        host.listWorkers(OWN_ZONE, OWN_ZONE_OTHER_KIND);
        long id = host.task(type);
        assertEquals(1, host.count("probe 2"));
        host.listWorker(2, 0, 1, 0, EndpointState.READY, 0);
        host.policy().onProbeResult(2, true);
        host.decide().after(100);
        assertEquals(0, host.count("forward " + id + " "));
    }

    @Test
    void placementChecksZoneAndKind() {
        TrafficType type = new TrafficType(1, 0, Span.ofMillis(100), 3, Span.ofMillis(5000),
                TrafficType.Effect.IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, Set.of(1),
                Set.of(0, 2));
        Worker worker = new Worker(1);
        worker.zone = 1;
        worker.kind = 2;
        assertTrue(Eligibility.allowsPlacement(type, worker));
        worker.kind = 1;
        assertFalse(Eligibility.allowsPlacement(type, worker));
        worker.kind = 0;
        worker.zone = 0;
        assertFalse(Eligibility.allowsPlacement(type, worker));
    }
}
