package rampshift.clients;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import org.xnio.StreamConnection;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The open client connections, and for each state its connections, longest in the state first. */
final class ConnectionTable {
    private final Clock clock;
    private final Map<StreamConnection, ClientConnection> connections = new HashMap<>();
    private final Map<ConnectionState, LinkedHashSet<ClientConnection>> byState =
            new EnumMap<>(ConnectionState.class);
    private Moment lastChange;

    ConnectionTable(Clock clock) {
        this.clock = clock;
        for (ConnectionState state : ConnectionState.values()) {
            byState.put(state, new LinkedHashSet<>());
        }
    }

    void add(ClientConnection connection) {
        connections.put(connection.channel(), connection);
        updateState(connection);
    }

    void remove(ClientConnection connection) {
        if (connections.remove(connection.channel()) != null) {
            byState.get(connection.listedState()).remove(connection);
        }
        recordChange();
    }

    /** Records that a client has just connected or disconnected. */
    void recordChange() {
        lastChange = clock.now();
    }

    /** Returns whether no client has connected or disconnected for longer than the span. */
    boolean isUnchangedFor(Span span) {
        return clock.now().since(lastChange).longerThan(span);
    }

    /** Lists a connection under its current state, after those that entered that state earlier. */
    void updateState(ClientConnection connection) {
        ConnectionState state = connection.state();
        if (state != connection.listedState() && contains(connection)) {
            moveToEnd(connection, state);
        }
    }

    /** Lists a connection as the one that entered a state most recently. */
    void moveToEnd(ClientConnection connection, ConnectionState state) {
        if (connection.listedState() != null) {
            byState.get(connection.listedState()).remove(connection);
        }
        byState.get(state).add(connection);
        connection.listAs(state, clock.now());
    }

    /** Returns the connection that has been in a state the longest; null if there is none. */
    ClientConnection oldest(ConnectionState state) {
        Iterator<ClientConnection> iterator = byState.get(state).iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    ClientConnection get(StreamConnection channel) {
        return connections.get(channel);
    }

    boolean contains(ClientConnection connection) {
        return connections.containsKey(connection.channel());
    }

    int size() {
        return connections.size();
    }

    /** Returns a copy of all connections, so that some may be closed during the iteration. */
    List<ClientConnection> all() {
        return new ArrayList<>(connections.values());
    }

    void clear() {
        connections.clear();
        byState.values().forEach(LinkedHashSet::clear);
    }
}
