package rampshift.workers;

import java.net.InetSocketAddress;

/**
 * An entry of the endpoint list, as far as connections depend on it.
 *
 * @param number the number by which the dispatcher knows the worker
 * @param uid the name by which the endpoint list knows the worker
 * @param address where the worker listens; null leaves the address as it was
 * @param placement zone and kind of the worker; tasks are assigned on the strength of them
 * @param startedAtMs when the worker was started, in milliseconds of Unix time
 * @param ready whether the worker takes new tasks
 */
public record WorkerListing(long number, String uid, InetSocketAddress address, String placement,
        long startedAtMs,
        boolean ready) {
}
