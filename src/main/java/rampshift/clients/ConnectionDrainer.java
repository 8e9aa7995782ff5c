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
     * Closes connections between requests, as many as the budget of this tick allows. A client that is
     * sending a request may finish it, and so may one that has just connected, perhaps to resend a request
     * that an earlier close has lost. A client whose request is in flight receives its response first.
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
