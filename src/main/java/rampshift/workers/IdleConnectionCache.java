package rampshift.workers;

import java.util.Collection;
import java.util.Deque;
import rampshift.connections.HttpConnection;
import rampshift.counters.Counters;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns the idle connections to all workers and closes those that have been idle for too long. */
final class IdleConnectionCache {
    private final Collection<WorkerEndpoint> endpoints;
    private final Clock clock;
    private final Counters counters;
    private final Span maxIdleTime;
    private int size;

    /**
     * Creates an empty cache.
     *
     * @param endpoints a live view of all workers
     * @param maxIdleTime how long a connection may be idle and still be reused
     */
    IdleConnectionCache(Collection<WorkerEndpoint> endpoints, Clock clock, Counters counters,
            Span maxIdleTime) {
        this.endpoints = endpoints;
        this.clock = clock;
        this.counters = counters;
        this.maxIdleTime = maxIdleTime;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Adds a connection that has just become idle. */
    void add(WorkerEndpoint endpoint, HttpConnection connection) {
        IdleConnection idle = new IdleConnection(connection, clock.now());
        connection.onIdleClose(() -> {
            if (endpoint.idleConnections().remove(idle)) {
                size--;
            }
        });
        endpoint.idleConnections().push(idle);
        size++;
    }

    /**
     * Takes a connection that is still open and has not been idle for too long. Without a minimum idle
     * time it is the most recently used one, otherwise the least recently used one.
     *
     * @param minIdleTime how long the connection must have been idle, so that a late duplicate of an
     *     earlier response is not taken for the response to the next request
     * @return the connection, which belongs to the caller now; null if there is none
     */
    HttpConnection take(WorkerEndpoint endpoint, Span minIdleTime) {
        Moment now = clock.now();
        boolean takeOldest = minIdleTime.micros() > 0;
        Deque<IdleConnection> idleConnections = endpoint.idleConnections();
        while (!idleConnections.isEmpty()) {
            IdleConnection candidate = takeOldest ? idleConnections.peekLast() : idleConnections.peekFirst();
            Span idleTime = now.since(candidate.idleSince());
            boolean expired = idleTime.longerThan(maxIdleTime);
            if (!expired && minIdleTime.longerThan(idleTime)) {
                return null;
            }
            idleConnections.remove(candidate);
            size--;
            if (!expired && candidate.connection().verifyOpen()) {
                counters.add(Counters.Name.CONNECTIONS_REUSED);
                return candidate.connection();
            }
            counters.add(Counters.Name.IDLE_CONNECTIONS_CLOSED);
            candidate.connection().close();
        }
        return null;
    }

    /** Closes all idle connections to a worker. */
    void closeAll(WorkerEndpoint endpoint) {
        while (!endpoint.idleConnections().isEmpty()) {
            closeOldest(endpoint);
        }
    }

    /** Closes all idle connections. */
    void closeAll() {
        endpoints.forEach(this::closeAll);
    }

    /** Closes the connection that has been idle for the longest time. The cache must not be empty. */
    void closeOldest() {
        WorkerEndpoint oldest = null;
        for (WorkerEndpoint endpoint : endpoints) {
            if (!endpoint.idleConnections().isEmpty()
                    && (oldest == null || oldestIdleSince(endpoint).before(oldestIdleSince(oldest)))) {
                oldest = endpoint;
            }
        }
        closeOldest(oldest);
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired(Moment now) {
        for (WorkerEndpoint endpoint : endpoints) {
            while (!endpoint.idleConnections().isEmpty()
                    && now.since(oldestIdleSince(endpoint)).longerThan(maxIdleTime)) {
                closeOldest(endpoint);
            }
        }
    }

    private static Moment oldestIdleSince(WorkerEndpoint endpoint) {
        return endpoint.idleConnections().peekLast().idleSince();
    }

    private void closeOldest(WorkerEndpoint endpoint) {
        size--;
        counters.add(Counters.Name.IDLE_CONNECTIONS_CLOSED);
        endpoint.idleConnections().pollLast().connection().close();
    }
}
