package rampshift.leases;

import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import rampshift.time.Moment;

/** The times of the next timer call of each lease. */
final class LeaseSchedule {
    /** Only valid while it is the last entry of its lease. */
    private record Entry(Moment at, String lease) {}

    private final Map<String, Moment> dueByLease = new TreeMap<>();
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::at).thenComparing(Entry::lease));

    void schedule(String lease, Moment at) {
        if (!at.equals(dueByLease.put(lease, at))) {
            entries.add(new Entry(at, lease));
        }
    }

    /** Removes and returns the lease that is due first; null if none is due. */
    String pollDue(Moment now) {
        while (!entries.isEmpty() && !now.before(entries.peek().at())) {
            Entry entry = entries.poll();
            if (dueByLease.remove(entry.lease(), entry.at())) {
                return entry.lease();
            }
        }
        return null;
    }

    /** Returns when the first entry is due, or the given time if that is earlier. */
    Moment nextOr(Moment other) {
        return entries.isEmpty() ? other : other.orEarlier(entries.peek().at());
    }
}
