package rampshift.policy;

import java.util.Set;
import rampshift.time.Span;

/**
 * A traffic type: the properties that its tasks have in common.
 *
 * @param priorityWeight value of a task that ends within its latency objective, 0 or more
 * @param lateValueShare share of that value if the task ends later but within its deadline, from 0 to 1
 * @param latencyObjective longest time from the first request to the end of a task that is in time, without
 * slack; above zero
 * @param latencySlackFactor multiple of the task's running time that is added to the objective, 0 or more
 * @param timeout time from the first request to the client's deadline; above zero
 * @param effect the effect of a second run
 * @param deduplicationScope the workers that drop repeats of each other's tasks; used only where the effect
 * is KEYED
 * @param deduplicationWindow how long repeats are dropped; used only where the effect is KEYED, zero or more
 * @param allowedZones indexes of the zones that it may go to; null for any
 * @param allowedKinds indexes of the kinds of workers that it may go to; null for any
 */
public record TrafficType(
        double priorityWeight,
        double lateValueShare,
        Span latencyObjective,
        double latencySlackFactor,
        Span timeout,
        Effect effect,
        DeduplicationScope deduplicationScope,
        Span deduplicationWindow,
        Set<Integer> allowedZones,
        Set<Integer> allowedKinds) {

    /** Returns whether only some zones or kinds of workers are allowed: a constrained type. */
    boolean isPlacementConstrained() {
        return allowedZones != null || allowedKinds != null;
    }

    /** Returns whether a second run is harmless at any worker. */
    boolean isIdempotent() {
        return effect == Effect.IDEMPOTENT;
    }

    /** Returns whether a second run is harmless or dropped, at some workers at least. */
    boolean mayRepeat() {
        return effect != Effect.NON_IDEMPOTENT;
    }

    /** Returns whether a second run is harmless or dropped at any worker. */
    boolean mayRepeatAnywhere() {
        return isIdempotent() || (effect == Effect.KEYED && deduplicationScope == DeduplicationScope.ALL);
    }

    /** The effect of a second run. */
    public enum Effect {
        /** A second run is harmless. */
        IDEMPOTENT,
        /** A worker drops a second run by its idempotency key, within the scope and the window. */
        KEYED,
        /** A second run does harm. */
        NON_IDEMPOTENT
    }

    /** The workers among which repeats of a task are dropped by its idempotency key. */
    public enum DeduplicationScope {
        /** All workers. */
        ALL,
        /** The workers of one zone. */
        ZONE,
        /** The workers of one cell. */
        CELL
    }
}
