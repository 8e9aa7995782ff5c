package rampshift.policy;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import rampshift.time.Moment;

/** The workers to which a connection is idle, the longest first; kept up only where new ones have a price. */
final class IdleConnections {
    private final Settings settings;
    private final ArrayDeque<Worker> order = new ArrayDeque<>();

    IdleConnections(Settings settings) {
        this.settings = settings;
    }

    /** A connection to the worker has become idle. */
    void onIdle(Worker worker, Moment now) {
        worker.idleConnections.add(now);
        if (settings.handshakeCost > 0) {
            order.remove(worker);
            order.add(worker);
        }
    }

    /** The workers to which one can be used again. */
    Stream<Worker> workers(Moment now) {
        while (!order.isEmpty() && !order.peek().keepsConnection(now, settings.connectionIdleTimeout)) {
            order.poll();
        }
        return order.stream().filter(worker -> worker.keepsConnection(now, settings.connectionIdleTimeout));
    }
}
