package rampshift.workers;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import rampshift.time.Span;

/**
 * A worker as the connection pool knows it: its entry in the endpoint list, and the idle connections to
 * it.
 */
final class WorkerEndpoint {
    private final long number;
    private final String uid;
    private InetSocketAddress address;
    private String placement;
    private long startedAtMs;
    private boolean ready;
    private int incarnation;
    private Span shortestResponseTime = Span.ZERO;
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();

    /**
     * Creates an endpoint that has no address yet.
     *
     * @param number the number by which the dispatcher knows the worker
     * @param uid the name by which the endpoint list knows the worker
     */
    WorkerEndpoint(long number, String uid) {
        this.number = number;
        this.uid = uid;
    }

    /**
     * Applies an entry of the endpoint list.
     *
     * @return whether idle connections to the worker must not be used any more
     */
    boolean update(WorkerListing listing) {
        boolean moved = listing.address() != null && !listing.address().equals(address);
        boolean changed =
                moved || listing.startedAtMs() != startedAtMs || !listing.placement().equals(placement);
        if (changed) {
            incarnation++;
        }
        if (listing.address() != null) {
            address = listing.address();
        }
        placement = listing.placement();
        startedAtMs = listing.startedAtMs();
        ready = listing.ready();
        return changed || !ready;
    }

    long number() {
        return number;
    }

    String uid() {
        return uid;
    }

    /** Where the worker listens; null until the endpoint list names an address. */
    InetSocketAddress address() {
        return address;
    }

    /** Whether the worker takes new tasks, by the latest endpoint list. */
    boolean isReady() {
        return ready;
    }

    void markNotReady() {
        ready = false;
    }

    /**
     * Increases whenever the worker moves, restarts or changes its placement: connections from before
     * then don't lead to the worker that is listed now.
     */
    int incarnation() {
        return incarnation;
    }

    /** The shortest time to the first byte of a response; zero before the first response. */
    Span shortestResponseTime() {
        return shortestResponseTime;
    }

    void recordResponseTime(Span responseTime) {
        boolean first = shortestResponseTime.micros() == 0;
        shortestResponseTime = first ? responseTime : shortestResponseTime.orShorter(responseTime);
    }

    /** The idle connections to the worker, the most recently used first. */
    Deque<IdleConnection> idleConnections() {
        return idleConnections;
    }
}
