package rampshift.testbed.clients;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** A pool of idle persistent connections; the most recently used connection is reused first. */
final class ClientConnectionPool implements ConnectionOwner {
    private final boolean keepAlive;
    private final Map<Dispatcher, ArrayDeque<DispatcherConnection>> idle = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param keepAlive whether connections are reused after an exchange
     */
    ClientConnectionPool(boolean keepAlive) {
        this.keepAlive = keepAlive;
    }

    private ArrayDeque<DispatcherConnection> idle(Dispatcher dispatcher) {
        return idle.computeIfAbsent(dispatcher, key -> new ArrayDeque<>());
    }

    @Override
    public DispatcherConnection poll(Dispatcher dispatcher) {
        return idle(dispatcher).poll();
    }

    @Override
    public void onExchangeCompleted(DispatcherConnection connection, boolean persistent) {
        if (persistent && keepAlive) {
            idle(connection.dispatcher()).push(connection);
        } else {
            connection.close();
        }
    }

    @Override
    public void onClosedByPeer(DispatcherConnection connection) {
        idle(connection.dispatcher()).remove(connection);
    }

    @Override
    public void onClosedByClient(DispatcherConnection connection) {
        idle(connection.dispatcher()).remove(connection);
    }
}
