package rampshift.clients;

import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Span;

/**
 * Keeps the number of connections within the limit of descriptors.
 *
 * <p>Connections are closed in the order of {@link ConnectionState}, in each state those first that have been
 * in it the longest, at a cost that does not grow with their number. Before this order hundreds of silent
 * clients held all places while regular ones waited in the backlog, and clients that asked for a page and
 * stayed displaced regular ones. A client within a request comes last: it loses a task, the others nothing.
 */
final class ConnectionLimiter {
    /** Time that any client has to send something, or to read its last response. */
    private static final Span MIN_STAY_NEW = Span.ofMillis(30);
    /** Time that a client which sends tasks may be idle, or take for a request. */
    private static final Span MIN_STAY_REGULAR = Span.ofMillis(100);

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

    /** Returns whether there are more connections than are meant to stay. */
    boolean isOverLimit() {
        return table.size() > limits.connections();
    }

    /** Returns whether one more connection may stay with all that there are. */
    boolean hasRoom() {
        return table.size() < limits.connections();
    }

    /** Closes connections until the others are within the limit, or none may be closed. */
    void makeRoom() {
        while (isOverLimit()) {
            ClientConnection candidate = nextToClose();
            if (candidate == null) {
                return;
            }
            if (!mustStay(candidate)) {
                Log.warn("connection-limit", "connections", table.size());
                counters.add(Counters.Name.CLIENT_CONNECTIONS_CLOSED_FOR_ROOM);
                closer.close(candidate);
            }
        }
    }

    private ClientConnection nextToClose() {
        for (ConnectionState state : ConnectionState.values()) {
            ClientConnection oldest = state == ConnectionState.BUSY ? null : table.oldest(state);
            if (oldest != null && !minStay(state).longerThan(clock.now().since(oldest.listedSince()))) {
                return oldest;
            }
            if (state == ConnectionState.IDLE && isFull()) {
                // In a burst of clients that leave after their response each waited 30 ms here, and others
                // behind it.
                ClientConnection closing = table.oldest(ConnectionState.CLOSING);
                if (closing != null) {
                    return closing;
                }
            }
        }
        return null;
    }

    /** For how long a connection may be in a state, however many others come. */
    private static Span minStay(ConnectionState state) {
        return switch (state) {
            case CLOSING, NEW -> MIN_STAY_NEW;
            case IDLE, RECEIVING -> MIN_STAY_REGULAR;
            default -> Span.ZERO;
        };
    }

    private boolean isFull() {
        return table.size() >= limits.allConnections();
    }

    /**
     * Reads what has arrived on a connection, and returns whether it is not to be closed, or is closed
     * already.
     */
    private boolean mustStay(ClientConnection connection) {
        return switch (connection.listedState()) {
            case CLOSING -> isStillReceiving(connection);
            case PEER_CLOSED -> false;
            default -> closer.hasNewInput(connection);
        };
    }

    /**
     * Whether a closing connection is closed by now, or has just received more and there is still room for
     * it.
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
