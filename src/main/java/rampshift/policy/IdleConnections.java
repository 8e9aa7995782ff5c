package rampshift.policy;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import rampshift.time.Moment;

/** The workers to which a connection is idle, the longest first; kept up only where new ones have a price. */
final class IdleConnections {
    private final Settings settings;
    private final ArrayDeque<Worker> longestIdleFirst = new ArrayDeque<>();

    IdleConnections(Settings settings) {
        this.settings = settings;
    }

    /** A connection to the worker has become idle. */
    void onIdle(Worker worker, Moment now) {
        worker.idleConnections.add(now);
        if (settings.handshakeCost > 0) {
            longestIdleFirst.remove(worker);
            longestIdleFirst.add(worker);
        }
    }

    /** The workers to which one can be used again. */
    Stream<Worker> workers(Moment now) {
        while (!longestIdleFirst.isEmpty()
                && !longestIdleFirst.peek().hasIdleConnection(now, settings.connectionIdleTimeout)) {
            longestIdleFirst.poll();
        }
        return longestIdleFirst.stream()
                .filter(worker -> worker.hasIdleConnection(now, settings.connectionIdleTimeout));
    }
}
