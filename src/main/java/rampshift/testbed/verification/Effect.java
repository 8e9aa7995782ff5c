package rampshift.testbed.verification;

/** What a second run of a task would do. */
enum Effect {
    /** Nothing more than the first one. */
    IDEMPOTENT,
    /** Nothing, as long as the workers recognize the repeat by its idempotency key. */
    FINGERPRINTED,
    /** The same effect once more. */
    SIDE_EFFECTING
}
