package rampshift.membership;

import java.util.EnumMap;
import java.util.Map;

/** Counters of one member since its start. */
public final class MembershipMetrics {
    /** What is counted. */
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
        /** Messages received that were meant for another member. */
        MISDIRECTED,
        /** Members and relayed probes that were left out for lack of room. */
        OVER_CAPACITY,
        /** Anti-entropy syncs, in either direction. */
        SYNCS,
        /** Suspicions and failures of itself that this member refuted. */
        REFUTED,
        /** Members that this one suspected by its own probes. */
        SUSPECTED,
        /** Times that this process stood still. */
        STALLS
    }

    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);

    /** The value of a counter. */
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
