package rampshift.policy;

/** What an endpoint list contains. */
public enum EndpointListKind {
    /** No list: the discovery service can't be reached, or the subscription was lost. */
    FAILED,
    /** Only the workers that changed. */
    DELTA,
    /** All workers; those that it lacks are removed. */
    FULL,
    /** All workers, as known before a restart of the dispatcher. */
    CACHED
}
