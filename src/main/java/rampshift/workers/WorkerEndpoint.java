package rampshift.workers;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import rampshift.time.Span;

/**
 * The state of a worker in the connection pool: its entry in the endpoint list, and the idle connections to
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
     * @param number the number that identifies the worker in the dispatcher
     * @param uid the name that identifies the worker in the endpoint list
     */
    WorkerEndpoint(long number, String uid) {
        this.number = number;
        this.uid = uid;
    }

    /**
     * Applies an entry of the endpoint list.
     *
     * @return whether idle connections to the worker must not be reused
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

    /** Returns the address at which the worker listens; null until the endpoint list contains one. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns whether the worker accepts new tasks according to the latest endpoint list. */
    boolean isReady() {
        return ready;
    }

    void markNotReady() {
        ready = false;
    }

    /**
     * Returns a number that increases whenever the worker moves, restarts or changes its placement.
     * Connections of an earlier incarnation must not be used for the worker that is listed now.
     */
    int incarnation() {
        return incarnation;
    }

    /** Returns the shortest time to the first byte of a response; zero before the first response. */
    Span shortestResponseTime() {
        return shortestResponseTime;
    }

    void recordResponseTime(Span responseTime) {
        boolean first = shortestResponseTime.micros() == 0;
        shortestResponseTime = first ? responseTime : shortestResponseTime.orShorter(responseTime);
    }

    /** Returns the idle connections to the worker, the most recently used first. */
    Deque<IdleConnection> idleConnections() {
        return idleConnections;
    }
}
