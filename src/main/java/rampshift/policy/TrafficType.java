package rampshift.policy;

import java.util.Set;
import rampshift.time.Span;

/**
 * A row of the traffic-type table: what differs by traffic type. The zones and kinds of workers that it may
 * go to are null where it may go to any.
 */
public record TrafficType(
        double earnings,
        double lateEarnings,
        Span due,
        double stretch,
        Span expiry,
        Effect effect,
        Group group,
        Span window,
        Set<Integer> zones,
        Set<Integer> kinds) {

    /** It may not go to every worker. */
    boolean bound() {
        return zones != null || kinds != null;
    }

    /** A second run is harmless, wherever it is. */
    boolean isIdempotent() {
        return effect == Effect.IDEMPOTENT;
    }

    /** A second run is harmless or dropped, at some workers at least. */
    boolean mayRepeat() {
        return effect != Effect.SIDE_EFFECTING;
    }

    /** A second run is harmless or dropped, at whichever worker. */
    boolean mayRepeatAnywhere() {
        return isIdempotent() || (effect == Effect.FINGERPRINTED && group == Group.ALL);
    }

    /** What a second run would do. */
    public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

    /** The workers that drop a repeat of a fingerprinted task together. */
    public enum Group {
        ALL, ZONE, CELL
    }
}
