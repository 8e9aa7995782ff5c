package rampshift.membership;

import java.util.EnumMap;
import java.util.Map;

/** The counters of one member since its start. */
public final class MembershipMetrics {
    /** A counter. */
    public enum Counter {
        /** Datagrams sent. */
        SENT,
        /** Bytes of the datagrams sent. */
        SENT_BYTES,
        /** Datagrams and sync messages received. */
        RECEIVED,
        /** Messages received that could not be decoded. */
        MALFORMED,
        /** Messages received of another fleet or another version of the format. */
        FOREIGN,
        /** Messages received that were addressed to another member. */
        MISDIRECTED,
        /** Members not added and ping requests not relayed because a limit was reached. */
        OVER_CAPACITY,
        /** Anti-entropy syncs, in either direction. */
        SYNCS,
        /** Suspicions and failures of itself that this member refuted. */
        REFUTED,
        /** Members that this one suspected by its own probes. */
        SUSPECTED,
        /** Stalls of this process. */
        STALLS
    }

    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);

    /** Returns the value of a counter. */
    public long get(Counter counter) {
        return counts.getOrDefault(counter, 0L);
    }

    void increment(Counter counter) {
        add(counter, 1);
    }

    void add(Counter counter, long amount) {
        counts.merge(counter, amount, Long::sum);
    }
}
