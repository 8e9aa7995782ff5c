package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * A multimap from keys to intervals. Each key keeps its intervals in the order in which they were added.
 *
 * @param <K> the type of the keys
 */
final class IntervalTable<K> {
    private final Map<K, List<Interval>> intervals = new HashMap<>();

    void add(K key, Interval interval) {
        intervals.computeIfAbsent(key, absent -> new ArrayList<>()).add(interval);
    }

    /** Returns the intervals of a key; empty if it has none. */
    List<Interval> of(K key) {
        return intervals.getOrDefault(key, List.of());
    }

    /** Returns the interval of a key that was added last; null if it has none. */
    Interval lastOf(K key) {
        List<Interval> keyIntervals = of(key);
        return keyIntervals.isEmpty() ? null : keyIntervals.get(keyIntervals.size() - 1);
    }

    /** Returns whether an interval of the key has an instant between the two times, both included. */
    boolean overlap(K key, long from, long to) {
        return of(key).stream().anyMatch(interval -> interval.overlaps(from, to));
    }

    /** Returns the intervals of all keys. */
    Stream<Interval> all() {
        return intervals.values().stream().flatMap(List::stream);
    }

    /** Calls the action for each interval, with its key. */
    void forEach(BiConsumer<K, Interval> action) {
        intervals.forEach(
                (key, keyIntervals) -> keyIntervals.forEach(interval -> action.accept(key, interval)));
    }
}
