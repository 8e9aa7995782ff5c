package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The idempotency keys that a group of workers shares, each kept for a limited time. */
final class IdempotencyKeys {
    /** A key, and the last moment at which another task with this key is a repetition. */
    private record RememberedKey(String key, Moment until) {}

    private final Map<String, Moment> rememberedUntil = new HashMap<>();
    private final ArrayDeque<RememberedKey> oldestFirst = new ArrayDeque<>();

    /**
     * Looks up a key, and stores it if it is new.
     *
     * @param key the key of a task that is about to run
     * @param window how long a new key is kept
     * @param now the present time
     * @return whether the task is a repetition and must have no effect
     */
    boolean isRepeated(String key, Span window, Moment now) {
        while (!oldestFirst.isEmpty() && oldestFirst.peek().until().before(now)) {
            RememberedKey expired = oldestFirst.poll();
            rememberedUntil.remove(expired.key(), expired.until());
        }
        Moment expiry = rememberedUntil.get(key);
        if (expiry != null && !expiry.before(now)) {
            return true;
        }
        Moment until = now.plus(window);
        rememberedUntil.put(key, until);
        oldestFirst.add(new RememberedKey(key, until));
        return false;
    }
}
