package rampshift.decide;

import rampshift.time.Span;

/** A row of the traffic-type table: what differs by traffic type. */
public record TrafficType(
        double earnings,
        double lateEarnings,
        Span due,
        double stretch,
        Span expiry,
        Effect effect,
        Group group,
        Span window,
        int kind) {

    /** What a second run would do. */
    public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

    /** The workers that drop a repeat of a fingerprinted task together. */
    public enum Group { ALL, ZONE, CELL }
}
