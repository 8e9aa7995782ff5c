package rampshift.discovery;

import java.net.InetSocketAddress;

/**
 * One worker as the discovery agent lists it.
 *
 * @param uid identifier of the worker
 * @param address where it accepts connections; null where the list names no usable address
 * @param zone its availability zone; empty where the list names none
 * @param kind its hardware model; empty where the list names none
 * @param cell its pod group
 * @param state whether new tasks may be sent to it
 * @param weight its capacity as the list hints at it, in slots; 0 where the list has no hint
 * @param startedAtMillis when its process started, in milliseconds of Unix time; 0 where the list does not
 *     say
 */
public record Endpoint(String uid, InetSocketAddress address, String zone, String kind, int cell, State state,
        double weight, long startedAtMillis) {
    /** Whether a worker accepts new tasks. */
    public enum State {
        /** It accepts new tasks. */
        READY,
        /** It completes the tasks it has and accepts no new ones. */
        DRAINING,
        /** It is no longer there. */
        REMOVED
    }
}
