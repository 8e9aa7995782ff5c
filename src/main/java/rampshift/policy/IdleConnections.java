package rampshift.policy;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import rampshift.time.Moment;

/**
 * The workers to which a connection is free, those free for longest first; kept up only where new ones have a
 * price.
 */
final class IdleConnections {
    private final Settings settings;
    private final ArrayDeque<Worker> order = new ArrayDeque<>();

    IdleConnections(Settings settings) {
        this.settings = settings;
    }

    void freed(Worker w, Moment now) {
        w.freeSince.add(now);
        if (settings.handshakePrice > 0) {
            order.remove(w);
            order.add(w);
        }
    }

    Stream<Worker> free(Moment now) {
        while (!order.isEmpty() && !order.peek().keeps(now, settings.connectionIdle)) {
            order.poll();
        }
        return order.stream().filter(w -> w.keeps(now, settings.connectionIdle));
    }
}
