package rampshift.clients;

import rampshift.time.Clock;
import rampshift.time.Moment;

/** Closes connections between requests while the dispatcher shuts down. */
final class ConnectionDrainer {
    private final Clock clock;
    private final ConnectionTable table;
    private final ConnectionCloser closer;
    private boolean draining;

    ConnectionDrainer(Clock clock, ConnectionTable table, ConnectionCloser closer) {
        this.clock = clock;
        this.table = table;
        this.closer = closer;
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Closes connections between requests, as many as the budget of this tick allows. A client that has just
     * connected, perhaps since its request crossed such a close, or that is sending a request, may finish
     * sending it; a client whose request is in flight reads its response first.
     */
    void drain(TickBudget tick) {
        draining = true;
        Moment now = clock.now();
        for (ClientConnection connection : table.all()) {
            if (mayClose(connection, now)) {
                if (!tick.tryUse()) {
                    return;
                }
                if (!closer.hasNewInput(connection)) {
                    closer.closeIdle(connection);
                }
            }
        }
    }

    private static boolean mayClose(ClientConnection connection, Moment now) {
        boolean awaitsRequest = connection.isRequestExpected()
                && !connection.phaseLength(now).longerThan(IdleConnectionReaper.MAX_REQUEST_TIME);
        return !connection.isBusy() && !connection.isClosing() && !awaitsRequest;
    }
}
