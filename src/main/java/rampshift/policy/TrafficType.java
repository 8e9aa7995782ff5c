package rampshift.policy;

import java.util.Set;
import rampshift.time.Span;

/**
 * A row of the traffic-type table: what differs by traffic type.
 *
 * @param priorityWeight value of a task that ends within its latency objective, 0 or more
 * @param lateValueShare part of that value where the task ends later, within its deadline, from 0 to 1
 * @param latencyObjective how long after it was first asked for a task may take, beside the slack; above zero
 * @param latencySlackFactor running times of the task that its latency objective is longer by, 0 or more
 * @param timeout how long after it was first asked for a task has to be answered at the latest; above zero
 * @param effect what a second run would do
 * @param deduplicationScope the workers that drop a repeat together; used only where the effect is KEYED
 * @param deduplicationWindow how long repeats are dropped; used only where the effect is KEYED, zero or more
 * @param allowedZones the zones that it may go to, by number; null for any
 * @param allowedKinds the kinds of workers that it may go to, by number; null for any
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

    /** It may not go to every worker. */
    boolean isPlacementConstrained() {
        return allowedZones != null || allowedKinds != null;
    }

    /** A second run is harmless, wherever it is. */
    boolean isIdempotent() {
        return effect == Effect.IDEMPOTENT;
    }

    /** A second run is harmless or dropped, at some workers at least. */
    boolean mayRepeat() {
        return effect != Effect.NON_IDEMPOTENT;
    }

    /** A second run is harmless or dropped, at whichever worker. */
    boolean mayRepeatAnywhere() {
        return isIdempotent() || (effect == Effect.KEYED && deduplicationScope == DeduplicationScope.ALL);
    }

    /** What a second run would do. */
    public enum Effect {
        /** A second run is harmless. */
        IDEMPOTENT,
        /** A worker drops a second run by its idempotency key, within the scope and the window. */
        KEYED,
        /** A second run does harm. */
        NON_IDEMPOTENT
    }

    /** The workers that drop a repeat of a task with an idempotency key together. */
    public enum DeduplicationScope {
        /** All workers. */
        ALL,
        /** The workers of one zone. */
        ZONE,
        /** The workers of one cell. */
        CELL
    }
}
