package rampshift.leases;

import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import rampshift.time.Moment;

/** When each lease wants to be called next. */
final class LeaseSchedule {
    /** A later entry of the same lease makes this one void. */
    private record Entry(Moment at, String lease) {}

    private final Map<String, Moment> dueByLease = new TreeMap<>();
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::at).thenComparing(Entry::lease));

    void schedule(String lease, Moment at) {
        if (!at.equals(dueByLease.put(lease, at))) {
            entries.add(new Entry(at, lease));
        }
    }

    /** Removes the lease that is due first; null where none is due by now. */
    String pollDue(Moment now) {
        while (!entries.isEmpty() && !now.before(entries.peek().at())) {
            Entry entry = entries.poll();
            if (dueByLease.remove(entry.lease(), entry.at())) {
                return entry.lease();
            }
        }
        return null;
    }

    /** When the first entry is due; the given time where that is earlier. */
    Moment nextOr(Moment other) {
        return entries.isEmpty() ? other : other.orEarlier(entries.peek().at());
    }
}
