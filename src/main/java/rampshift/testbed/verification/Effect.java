package rampshift.testbed.verification;

/** The effect of a second run of a task. */
enum Effect {
    /** The second run has no further effect. */
    IDEMPOTENT,
    /** The second run is suppressed if the workers recognize the idempotency key. */
    FINGERPRINTED,
    /** The second run repeats the effect. */
    SIDE_EFFECTING
}
