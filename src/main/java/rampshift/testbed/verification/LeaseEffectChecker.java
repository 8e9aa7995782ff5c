package rampshift.testbed.verification;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rampshift.testbed.verification.LeaseEvent.EffectApplied;
import rampshift.testbed.verification.LeaseEvent.EffectRefused;
import rampshift.testbed.verification.LeaseEvent.JobTaskCompleted;
import rampshift.testbed.verification.LeaseEvent.JobTaskUnsure;

/**
 * The rules for effects that workers apply for the holder of a lease: the fencing tokens of successive
 * effects do not decrease, and a task that is not idempotent takes effect at most once.
 */
final class LeaseEffectChecker implements LogEventListener {
    private final RuleTally tokenOrder = new RuleTally("effects under a lease in the order of tokens");
    private final RuleTally singleEffect = new RuleTally("a duty's task takes effect once where it must");
    private final Map<String, Long> highestTokenOfLease = new HashMap<>();
    private final Map<String, Integer> effectsOfTask = new TreeMap<>();
    private final Set<String> idempotentTasks = new HashSet<>();
    private final Set<String> unsureTasks = new HashSet<>();
    private final Set<String> completedTasks = new HashSet<>();
    private long takeovers;
    private long refused;

    @Override
    public void onEffectApplied(EffectApplied event) {
        effectsOfTask.merge(event.task(), 1, Integer::sum);
        if (event.effect() == Effect.IDEMPOTENT) {
            idempotentTasks.add(event.task());
        } else {
            idempotentTasks.remove(event.task());
        }
        checkOrder(event);
    }

    private void checkOrder(EffectApplied event) {
        Long highest = highestTokenOfLease.get(event.lease());
        if (highest != null && event.token() < highest) {
            tokenOrder.countBreach("an effect of " + event.task() + " under token " + event.token() + " of "
                    + event.lease() + " after one under " + highest);
        } else if (highest != null && event.token() > highest) {
            takeovers++;
            tokenOrder.countCase();
        }
        highestTokenOfLease.merge(event.lease(), event.token(), Math::max);
    }

    @Override
    public void onEffectRefused(EffectRefused event) {
        refused++;
    }

    @Override
    public void onJobTaskCompleted(JobTaskCompleted event) {
        completedTasks.add(event.task());
    }

    @Override
    public void onJobTaskUnsure(JobTaskUnsure event) {
        unsureTasks.add(event.task());
    }

    /**
     * Checks that a task that is not idempotent took effect at most once, and that a task that was reported
     * as completed took effect at least once. Must be called once, after the last event.
     */
    void check() {
        effectsOfTask.forEach((task, count) -> {
            if (!idempotentTasks.contains(task)) {
                singleEffect.countCase();
                if (count > 1) {
                    singleEffect.countBreach(task + " took effect " + count + " times");
                }
            }
        });
        for (String task : completedTasks) {
            singleEffect.countCase();
            if (!effectsOfTask.containsKey(task)) {
                singleEffect
                        .countBreach(task + " was reported as completed, but no worker applied its effect");
            }
        }
    }

    Verdict.Rule tokenOrderResult() {
        return tokenOrder.result();
    }

    Verdict.Rule singleEffectResult() {
        return singleEffect.result();
    }

    /** Returns the counts over all leases. */
    Verdict.LeaseEffects counts() {
        long tasksOnce = effectsOfTask.values().stream().filter(count -> count == 1).count();
        long unsureWithoutEffect =
                unsureTasks.stream().filter(task -> !effectsOfTask.containsKey(task)).count();
        return new Verdict.LeaseEffects(takeovers, refused, tasksOnce, effectsOfTask.size() - tasksOnce,
                unsureWithoutEffect);
    }
}
