package rampshift.discovery;

import java.net.InetSocketAddress;

/**
 * One worker as listed by the discovery agent.
 *
 * @param uid identifier of the worker
 * @param address where the worker accepts connections; null if the list has no usable address
 * @param zone the availability zone of the worker; empty if the list has none
 * @param kind the hardware model of the worker; empty if the list has none
 * @param cell the pod group of the worker
 * @param state whether new tasks may be sent to it
 * @param weight the capacity hint of the list, in slots; 0 if the list has none
 * @param startedAtMillis when the process of the worker started, in milliseconds of Unix time; 0 if the list
 *     does not say
 */
public record Endpoint(String uid, InetSocketAddress address, String zone, String kind, int cell, State state,
        double weight, long startedAtMillis) {
    /** Whether a worker accepts new tasks. */
    public enum State {
        /** The worker accepts new tasks. */
        READY,
        /** The worker completes its tasks and accepts no new ones. */
        DRAINING,
        /** The worker no longer exists. */
        REMOVED
    }
}
