package rampshift.policy;

/** State of a worker in an endpoint list. */
public enum EndpointState {
    READY, DRAINING, REMOVED
}
