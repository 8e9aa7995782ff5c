package rampshift.leases;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Moment;

/** Concurrent changes of several registers, with their retries. */
final class ChangeBatch {
    /**
     * A change in flight.
     *
     * @param register name of the changed register
     * @param proposer proposer of the change
     */
    record Entry(String register, Proposer proposer) {}

    private final long processId;
    private final LeaseTimings timings;
    private final ProposerContext context;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final Map<String, Long> highestRounds = new HashMap<>();
    private double latencyFactor = 1;

    ChangeBatch(long processId, LeaseTimings timings, ProposerContext context) {
        this.processId = processId;
        this.timings = timings;
        this.context = context;
    }

    int size() {
        return entries.size();
    }

    /** Drops all changes in flight. */
    void clear() {
        entries.clear();
    }

    void begin(Moment now, String register, ChangeFunction change) {
        long highestRound = highestRounds.getOrDefault(register, 0L);
        attempt(now, new Entry(register, new Proposer(register, change, processId, highestRound)));
    }

    private void attempt(Moment now, Entry entry) {
        long number = context.nextNumber();
        entries.values().remove(entry);
        entries.put(number, entry);
        Moment deadline = now.plus(timings.attemptTimeout(latencyFactor));
        entry.proposer().attempt(context.acceptors(), number, deadline, context);
    }

    /** Begins another attempt of each change whose deadline has passed. */
    void retryOverdue(Moment now) {
        for (Entry entry : List.copyOf(entries.values())) {
            Proposer proposer = entry.proposer();
            if (!now.before(proposer.deadline())) {
                highestRounds.merge(entry.register(), proposer.highestRound(), Math::max);
                if (!proposer.isRejected()) {
                    latencyFactor = timings.increasedLatencyFactor(latencyFactor);
                }
                attempt(now, entry);
            }
        }
    }

    /** Handles an acceptor's reply. Returns the change that it decided; null for none. */
    Entry onReply(Moment now, String from, Message.VoteReply reply) {
        Entry entry = entries.get(reply.number());
        if (entry == null || !entry.proposer().onReply(now, from, reply, context)) {
            return null;
        }
        Proposer proposer = entry.proposer();
        highestRounds.merge(entry.register(), proposer.highestRound(), Math::max);
        if (proposer.state() == Proposer.State.PENDING) {
            proposer.waitUntil(now.plus(timings.maxBackoff().times(latencyFactor * context.nextRandom())));
            return null;
        }
        entries.remove(reply.number());
        return entry;
    }
}
