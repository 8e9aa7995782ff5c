package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The marks of fingerprinted tasks that one group of workers remembers together, each for its window. */
final class IdempotencyKeys {
    private record Seen(String key, Moment until) {}

    private final Map<String, Moment> until = new HashMap<>();
    private final ArrayDeque<Seen> order = new ArrayDeque<>();

    /** Whether it is a repeat; if not, it is remembered from now on. */
    boolean repeat(String key, Span window, Moment now) {
        while (!order.isEmpty() && order.peek().until().before(now)) {
            Seen old = order.poll();
            until.remove(old.key(), old.until());
        }
        Moment known = until.get(key);
        if (known != null && !known.before(now)) {
            return true;
        }
        Moment end = now.plus(window);
        until.put(key, end);
        order.add(new Seen(key, end));
        return false;
    }
}
