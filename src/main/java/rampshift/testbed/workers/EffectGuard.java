package rampshift.testbed.workers;

import java.util.List;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/** Decides for one worker whether a task that starts may have its effect, and records the decision. */
final class EffectGuard {
    private final List<FleetPlan.TrafficType> types;
    private final List<IdempotencyKeys> keys;
    private final FencingTokens fencingTokens;
    private final WorkerEventLog events;

    /**
     * Creates a guard.
     *
     * @param types the types of the plan
     * @param keys the idempotency keys by type, shared with the other workers of the type's group
     * @param fencingTokens the highest tokens that any worker has received
     * @param events receives the decisions
     */
    EffectGuard(List<FleetPlan.TrafficType> types, List<IdempotencyKeys> keys, FencingTokens fencingTokens,
            WorkerEventLog events) {
        this.types = types;
        this.keys = keys;
        this.fencingTokens = fencingTokens;
        this.events = events;
    }

    /** Returns whether a task that starts now has its effect: it is not repeated, nor its token refused. */
    boolean permits(Task task, Moment now) {
        FleetPlan.TrafficType type = types.get(task.type());
        boolean repeated = type.effect() == FleetPlan.TrafficType.Effect.FINGERPRINTED
                && keys.get(task.type()).isRepeated(task.idempotencyKey(), type.window(), now);
        if (repeated || task.leaseToken() == null) {
            events.taskStarted(now, task, type, repeated);
            return !repeated;
        }
        boolean accepted = fencingTokens.accept(task.leaseToken());
        events.leasedTaskStarted(now, task, type, !accepted);
        return accepted;
    }
}
