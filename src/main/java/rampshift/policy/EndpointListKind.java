package rampshift.policy;

/** How an endpoint list came. */
public enum EndpointListKind {
    /** There is none: the list service could not be reached, or the subscription was lost. */
    FAILED,
    /** Only the workers that changed are named. */
    DELTA,
    /** All workers are named; the others are removed. */
    FULL,
    /** All workers as they were known before a restart. */
    CACHED
}
