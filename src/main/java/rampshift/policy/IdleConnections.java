package rampshift.policy;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import rampshift.time.Moment;

/**
 * Workers to which a connection is idle, longest idle first; maintained only where new connections have a
 * cost.
 */
final class IdleConnections {
    private final Settings settings;
    private final ArrayDeque<Worker> longestIdleFirst = new ArrayDeque<>();

    IdleConnections(Settings settings) {
        this.settings = settings;
    }

    /** Records that a connection to the worker has become idle. */
    void onIdle(Worker worker, Moment now) {
        worker.idleConnections.add(now);
        if (settings.handshakeCost > 0) {
            longestIdleFirst.remove(worker);
            longestIdleFirst.add(worker);
        }
    }

    /** Returns the workers to which an idle connection can be reused. */
    Stream<Worker> workers(Moment now) {
        while (!longestIdleFirst.isEmpty()
                && !longestIdleFirst.peek().hasIdleConnection(now, settings.connectionIdleTimeout)) {
            longestIdleFirst.poll();
        }
        return longestIdleFirst.stream()
                .filter(worker -> worker.hasIdleConnection(now, settings.connectionIdleTimeout));
    }
}
