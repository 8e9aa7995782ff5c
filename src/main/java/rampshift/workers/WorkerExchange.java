package rampshift.workers;

import java.nio.ByteBuffer;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.log.Log;
import rampshift.time.Span;

/**
 * A request to a worker and its response. It takes a connection from the pool, or dials one, and gives it
 * back once, in {@link #release}. Its result is reported once; what arrives of the response after that is
 * only read and dropped.
 */
abstract class WorkerExchange implements ExchangeListener, Dialer.DialListener {
    private final ConnectionPool pool;
    private final WorkerEndpoint endpoint;
    private Dialer.Dial dial;
    private HttpConnection connection;
    private boolean connectionReused;
    private int incarnation;
    private boolean resultReported;

    WorkerExchange(ConnectionPool pool, WorkerEndpoint endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    /** Makes the whole HTTP request; called just before it is written. */
    abstract ByteBuffer[] message();

    /** Called if the pool has reached its limit of connections, or if the worker has no address. */
    abstract void onNoConnectionAvailable();

    /** Whether the request must not be sent over a connection that was idle. */
    boolean requiresNewConnection() {
        return false;
    }

    /** How long a connection must have been idle to be reused. */
    Span minIdleTime() {
        return Span.ZERO;
    }

    /** How much later than the other bytes the last one is written. */
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
        } else if (endpoint.address() == null || !pool.makeRoom()) {
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

    /** Whether the connection leads to the worker that is listed now: it has not moved or restarted since. */
    final boolean isCurrent() {
        return incarnation == endpoint.incarnation();
    }

    /** The time from the last byte of the request to the first of the response. */
    final Span timeToFirstByte() {
        return connection.timeToFirstByte();
    }

    /**
     * To be called if the connection failed before the response began. If it had been idle before, it was
     * stale, and the pool closes the other idle connections to the worker.
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
     * Notes that the result is being reported.
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

    /** Ends the exchange: cancels its dial, and gives its connection back. May be called more than once. */
    final void release() {
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        if (connection != null) {
            HttpConnection released = connection;
            connection = null;
            pool.lingeringExchanges().remove(this);
            pool.giveBack(endpoint, incarnation, released);
        }
    }

    /** Logs that the worker sent a response that makes no sense. */
    final void logMalformedResponse(String what) {
        Log.warn("malformed-response", "worker", endpoint.uid(), "what", what);
    }
}
