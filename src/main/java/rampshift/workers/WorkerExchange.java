package rampshift.workers;

import java.nio.ByteBuffer;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.MemoryBudget;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Span;

/**
 * A request to a worker and its response. It borrows a connection from the pool, or dials one, and returns it
 * once, in {@link #release}. Its result is reported once; the rest of the response after that is read and
 * discarded. What is kept of an incomplete response counts against the budget of all exchanges.
 */
abstract class WorkerExchange implements ExchangeListener, Dialer.DialListener {
    private final ConnectionPool pool;
    private final WorkerEndpoint endpoint;
    private final MemoryBudget.Reservation reservation;
    private Dialer.Dial dial;
    private HttpConnection connection;
    private boolean connectionReused;
    private int incarnation;
    private boolean resultReported;

    WorkerExchange(ConnectionPool pool, WorkerEndpoint endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
        reservation = pool.responseMemory().newReservation(this::evict);
    }

    /** Creates the whole HTTP request; called just before it is written. */
    abstract ByteBuffer[] message();

    /** Called if the pool has reached its limit of connections, or if the worker has no address. */
    abstract void onNoConnectionAvailable();

    /** Returns the memory that this exchange holds of the body of an incomplete response, in bytes. */
    abstract int heldBodyBytes();

    /** Ends the exchange, since its incomplete response was dropped. */
    abstract void onResponseDropped();

    /** Returns whether the request must not be sent over an idle connection. */
    boolean requiresNewConnection() {
        return false;
    }

    /** Returns the time for which a connection must have been idle to be reused. */
    Span minIdleTime() {
        return Span.ZERO;
    }

    /** Returns the delay of the last byte of the request after the other bytes. */
    Span lastByteDelay() {
        return Span.ZERO;
    }

    final ConnectionPool pool() {
        return pool;
    }

    final WorkerEndpoint endpoint() {
        return endpoint;
    }

    final void start() {
        incarnation = endpoint.incarnation();
        connection = requiresNewConnection() ? null : pool.takeIdle(endpoint, minIdleTime());
        if (connection != null) {
            connectionReused = true;
            sendRequest();
        } else if (endpoint.address() == null || !pool.ensureCapacity()) {
            onNoConnectionAvailable();
        } else {
            dial = pool.dial(endpoint, this);
        }
    }

    @Override
    public final void onConnected(HttpConnection newConnection) {
        dial = null;
        connection = newConnection;
        sendRequest();
    }

    private void sendRequest() {
        connection.exchange(this, lastByteDelay(), this::message);
    }

    @Override
    public final void onMemoryHeld(int bytes) {
        if (!reservation.resize(bytes + heldBodyBytes())) {
            evict();
        }
    }

    /**
     * Drops the incomplete response of this exchange, since the responses of all workers exceed their memory
     * and this one has been incomplete for the longest time.
     */
    private void evict() {
        pool.counters().add(Counters.Name.RESPONSES_DROPPED);
        Log.warn("response-dropped", "worker", endpoint.uid(), "why",
                "incomplete for the longest time while the memory for responses is exhausted");
        onResponseDropped();
    }

    /**
     * Returns whether the connection leads to the worker that is listed now: the worker has not moved,
     * restarted or changed its placement since the exchange started.
     */
    final boolean isCurrent() {
        return incarnation == endpoint.incarnation();
    }

    /** Returns the time from the last byte of the request to the first byte of the response. */
    final Span timeToFirstByte() {
        return connection.timeToFirstByte();
    }

    /**
     * Reports a connection failure before the head of the response arrived. A connection that was reused was
     * stale then, and the pool closes the other idle connections to the worker.
     *
     * @return whether the connection was stale
     */
    final boolean reportIfStale() {
        if (connectionReused) {
            pool.onStaleConnection(endpoint);
        }
        return connectionReused;
    }

    /**
     * Records that the result is being reported.
     *
     * @return false if a result was reported before
     */
    final boolean markResultReported() {
        boolean first = !resultReported;
        resultReported = true;
        return first;
    }

    final boolean isResultReported() {
        return resultReported;
    }

    /** Keeps the connection for a limited time to read the rest of the response. */
    final void linger() {
        if (connection != null) {
            pool.lingeringExchanges().add(this);
        }
    }

    /** Ends the exchange: cancels its dial and returns its connection. May be called more than once. */
    final void release() {
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        reservation.release();
        if (connection != null) {
            HttpConnection released = connection;
            connection = null;
            pool.lingeringExchanges().remove(this);
            pool.returnConnection(endpoint, incarnation, released);
        }
    }

    /** Logs that the worker sent an invalid response. */
    final void logMalformedResponse(String reason) {
        Log.warn("malformed-response", "worker", endpoint.uid(), "what", reason);
    }
}
