package rampshift.workers;

import java.net.InetSocketAddress;

/**
 * The part of an entry of the endpoint list that connections depend on.
 *
 * @param number the number that identifies the worker in the dispatcher
 * @param uid the name that identifies the worker in the endpoint list
 * @param address the address at which the worker listens; null to keep the previous address
 * @param placement the zone and the kind of the worker, by which tasks are assigned to it
 * @param startedAtMs the start time of the worker, in milliseconds of Unix time
 * @param ready whether the worker accepts new tasks
 */
public record WorkerListing(long number, String uid, InetSocketAddress address, String placement,
        long startedAtMs,
        boolean ready) {
}
