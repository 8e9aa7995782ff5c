package rampshift.workers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The exchanges whose result is known while the rest of the response has yet to arrive. The rest is read for
 * a limited time, so that the connection can be reused.
 */
final class LingeringExchanges {
    private static final Span MAX_LINGER_TIME = Span.ofMillis(1000);

    private final Clock clock;
    private final Map<WorkerExchange, Moment> lingeringSince = new LinkedHashMap<>();

    LingeringExchanges(Clock clock) {
        this.clock = clock;
    }

    void add(WorkerExchange exchange) {
        lingeringSince.put(exchange, clock.now());
    }

    void remove(WorkerExchange exchange) {
        lingeringSince.remove(exchange);
    }

    /** Releases the exchanges that have lingered for too long. */
    void releaseExpired(Moment now) {
        List<WorkerExchange> expired = new ArrayList<>();
        lingeringSince.forEach((exchange, since) -> {
            if (now.since(since).longerThan(MAX_LINGER_TIME)) {
                expired.add(exchange);
            }
        });
        expired.forEach(WorkerExchange::release);
    }
}
