package rampshift.membership;

import rampshift.time.Span;

/**
 * The times of the protocol, derived from one period.
 *
 * @param period      the protocol period: one member is probed in each; at least 20 ms
 * @param forgetAfter for how long a failed or ended member is kept in the view
 */
public record MembershipTimings(Span period, Span forgetAfter) {
    /** Members that are asked to probe a member that did not answer. */
    static final int INDIRECT_PROBES = 3;
    /** Independent confirmations that shorten a suspicion to its minimum. */
    static final int MAX_CONFIRMATIONS = 3;
    /** Members that get a new drain notice at once. */
    static final int DRAIN_NOTICE_FANOUT = 4;

    private static final double ACK_TIMEOUT_PERIODS = 0.25;
    /** Times log10 of the number of members, which counts as 1 at least. */
    private static final double MIN_SUSPICION_PERIODS = 3;
    /** The longest suspicion, while nobody confirms it, as a multiple of the shortest. */
    private static final double MAX_SUSPICION_FACTOR = 4;
    /** Transmissions of each update, times log10 of the number of members, rounded up. */
    private static final double TRANSMISSION_FACTOR = 4;
    private static final double SYNC_INTERVAL_PERIODS = 20;
    /** Up to 2 to the power of 5 members the sync interval does not depend on their number. */
    private static final double SYNC_INTERVAL_LOG2_OFFSET = 4;
    private static final double RECONNECT_INTERVAL_PERIODS = 4;

    /** How long a probe waits for its ack before other members are asked to probe. */
    Span ackTimeout() {
        return period.times(ACK_TIMEOUT_PERIODS);
    }

    /** The length of a suspicion that enough others confirm. */
    Span minSuspicion(int members) {
        return period.times(MIN_SUSPICION_PERIODS * Math.max(1, Math.log10(Math.max(1, members))));
    }

    /** The length of a suspicion that nobody confirms. */
    Span maxSuspicion(int members) {
        return minSuspicion(members).times(MAX_SUSPICION_FACTOR);
    }

    /**
     * The length of a suspicion from its start on.
     *
     * @param members       the number of reachable members
     * @param confirmations the number of other members that suspect the same member
     * @param couldConfirm  the number of members that could confirm it
     */
    Span suspicion(int members, int confirmations, int couldConfirm) {
        Span shortest = minSuspicion(members);
        int needed = Math.min(MAX_CONFIRMATIONS, couldConfirm);
        if (needed < 1) {
            return shortest;
        }
        double confirmedShare = Math.log(Math.min(confirmations, needed) + 1) / Math.log(needed + 1);
        Span longest = maxSuspicion(members);
        return longest.minus(longest.minus(shortest).times(confirmedShare));
    }

    /** How many times each update is piggybacked on a datagram. */
    int transmissions(int members) {
        return (int) Math.ceil(TRANSMISSION_FACTOR * Math.max(1, Math.log10(members + 1)));
    }

    /** The mean interval between two anti-entropy syncs. */
    Span syncInterval(int members) {
        double log2 = Math.log(members) / Math.log(2);
        return period.times(SYNC_INTERVAL_PERIODS * Math.max(1, log2 - SYNC_INTERVAL_LOG2_OFFSET));
    }

    /** The mean interval between two attempts to sync with a member that is missing. */
    Span reconnectInterval() {
        return period.times(RECONNECT_INTERVAL_PERIODS);
    }

    /**
     * An upper bound of the time until every member that runs and can reach the others knows that one has
     * failed: each of them probes it once in two rounds, it is suspected for the longest time, and the update
     * spreads by gossip. Lost datagrams come on top, see docs/design/members.md.
     *
     * @param members         the number of members
     * @param healthMultiplier the highest local health multiplier of any of them; 1 if all are in time
     */
    public Span detectionBound(int members, int healthMultiplier) {
        Span probed = period.times(2.0 * members * healthMultiplier);
        Span spread = period.times(2.0 * transmissions(members));
        return probed.plus(maxSuspicion(members)).plus(spread);
    }
}
