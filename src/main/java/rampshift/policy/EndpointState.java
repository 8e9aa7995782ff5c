package rampshift.policy;

/** What an endpoint list says of a worker. */
public enum EndpointState {
    READY, DRAINING, REMOVED
}
