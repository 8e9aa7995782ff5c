package rampshift.clients;

import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Span;

/**
 * Keeps the number of connections within the limit of file descriptors.
 *
 * <p>Connections are closed in the order of {@link ConnectionState}, and within a state the one that has been
 * in it the longest is closed first, at constant cost. Without this order, hundreds of silent clients can
 * occupy all connections while regular ones wait in the backlog, and clients that stay connected after
 * fetching a status page displace regular ones. A client that is sending a request comes last, since closing
 * its connection loses a task.
 */
final class ConnectionLimiter {
    /**
     * Minimum time for which a client may stay connected without sending anything, or take to read its last
     * response.
     */
    private static final Span MIN_TIME_NEW = Span.ofMillis(30);
    /** Minimum time for which a client that sends tasks may be idle, or take to send a request. */
    private static final Span MIN_TIME_REGULAR = Span.ofMillis(100);

    private final ClientLimits limits;
    private final ConnectionTable table;
    private final ConnectionCloser closer;
    private final Counters counters;
    private final Clock clock;

    ConnectionLimiter(ClientLimits limits, ConnectionTable table, ConnectionCloser closer, Counters counters,
            Clock clock) {
        this.limits = limits;
        this.table = table;
        this.closer = closer;
        this.counters = counters;
        this.clock = clock;
    }

    /** Returns whether the number of connections exceeds the limit. */
    boolean isOverLimit() {
        return table.size() > limits.connections();
    }

    /** Returns whether one more connection is within the limit. */
    boolean isBelowLimit() {
        return table.size() < limits.connections();
    }

    /** Closes connections until the number is within the limit or none of the rest may be closed. */
    void closeExcess() {
        while (isOverLimit()) {
            ClientConnection candidate = nextToClose();
            if (candidate == null) {
                return;
            }
            if (!mustStayOpen(candidate)) {
                Log.warn("connection-limit", "connections", table.size());
                counters.add(Counters.Name.CLIENT_CONNECTIONS_CLOSED_FOR_ROOM);
                closer.close(candidate);
            }
        }
    }

    private ClientConnection nextToClose() {
        for (ConnectionState state : ConnectionState.values()) {
            ClientConnection oldest = state == ConnectionState.BUSY ? null : table.oldest(state);
            if (oldest != null && !minTimeIn(state).longerThan(clock.now().since(oldest.listedSince()))) {
                return oldest;
            }
            if (state == ConnectionState.IDLE && isFull()) {
                // A full table overrides the minimum time of closing connections: in a burst of clients that
                // disconnect after their response, each would otherwise occupy a connection for 30 ms and
                // delay those in the backlog.
                ClientConnection closing = table.oldest(ConnectionState.CLOSING);
                if (closing != null) {
                    return closing;
                }
            }
        }
        return null;
    }

    /** Returns the minimum time in a state before a connection may be closed for others. */
    private static Span minTimeIn(ConnectionState state) {
        return switch (state) {
            case CLOSING, NEW -> MIN_TIME_NEW;
            case IDLE, RECEIVING -> MIN_TIME_REGULAR;
            default -> Span.ZERO;
        };
    }

    private boolean isFull() {
        return table.size() >= limits.allConnections();
    }

    /**
     * Reads the available input of a connection, and returns whether the connection may not be closed or is
     * already closed.
     */
    private boolean mustStayOpen(ClientConnection connection) {
        return switch (connection.listedState()) {
            case CLOSING -> isStillReceiving(connection);
            case PEER_CLOSED -> false;
            default -> closer.hasNewInput(connection);
        };
    }

    /**
     * Returns whether a closing connection is already closed, or has just received more input while the
     * number of connections is below the maximum.
     */
    private boolean isStillReceiving(ClientConnection connection) {
        boolean received = closer.discardInput(connection);
        if (!table.contains(connection)) {
            return true;
        }
        if (received) {
            table.moveToEnd(connection, ConnectionState.CLOSING);
        }
        return received && !isFull();
    }
}
