package rampshift.discovery;

import java.net.InetSocketAddress;

/** One worker as discovery lists it. */
public record Endpoint(String uid, InetSocketAddress address, String zone, String kind, int cell, State state,
        double weight, long startedAtMillis) {
    /** Whether it takes new tasks. */
    public enum State { READY, DRAINING, REMOVED }
}
