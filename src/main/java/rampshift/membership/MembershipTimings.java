package rampshift.membership;

import rampshift.time.Span;

/**
 * The intervals and timeouts of the protocol, derived from one period.
 *
 * @param period      the protocol period: one member is probed in each; at least 20 ms
 * @param forgetAfter how long a failed or ended member is kept in the view
 */
public record MembershipTimings(Span period, Span forgetAfter) {
    /** The number of members that are asked to probe a member that did not answer. */
    static final int INDIRECT_PROBES = 3;
    /** The number of independent confirmations that shorten a suspicion to its minimum. */
    static final int MAX_CONFIRMATIONS = 3;
    /** The number of members to which a new drain notice is sent immediately. */
    static final int DRAIN_NOTICE_FANOUT = 4;

    private static final double ACK_TIMEOUT_PERIODS = 0.25;
    /** The shortest suspicion in periods, to be multiplied by log10 of the number of members (at least 1). */
    private static final double MIN_SUSPICION_PERIODS = 3;
    /** The length of an unconfirmed suspicion, as a multiple of the shortest. */
    private static final double MAX_SUSPICION_FACTOR = 4;
    /** The transmissions of each update, to be multiplied by log10 of the members plus 1 (at least 1). */
    private static final double TRANSMISSION_FACTOR = 4;
    private static final double SYNC_INTERVAL_PERIODS = 20;
    /** Makes the sync interval independent of the number of members up to 2 to the power of 5. */
    private static final double SYNC_INTERVAL_LOG2_OFFSET = 4;
    private static final double RECONNECT_INTERVAL_PERIODS = 4;

    /** Returns how long a probe waits for its ack before other members are asked to probe. */
    Span ackTimeout() {
        return period.times(ACK_TIMEOUT_PERIODS);
    }

    /** Returns the length of a suspicion with enough confirmations, or that no other member can confirm. */
    Span minSuspicion(int members) {
        return period.times(MIN_SUSPICION_PERIODS * Math.max(1, Math.log10(Math.max(1, members))));
    }

    /** Returns the length of a suspicion that other members could confirm and none has confirmed. */
    Span maxSuspicion(int members) {
        return minSuspicion(members).times(MAX_SUSPICION_FACTOR);
    }

    /**
     * Returns the length of a suspicion, counted from its start.
     *
     * @param members                the number of reachable members
     * @param confirmations          the number of other members that suspect the same member
     * @param potentialConfirmations the number of members that could confirm the suspicion
     */
    Span suspicion(int members, int confirmations, int potentialConfirmations) {
        Span shortest = minSuspicion(members);
        int needed = Math.min(MAX_CONFIRMATIONS, potentialConfirmations);
        if (needed < 1) {
            return shortest;
        }
        double confirmedFraction = Math.log(Math.min(confirmations, needed) + 1) / Math.log(needed + 1);
        Span longest = maxSuspicion(members);
        return longest.minus(longest.minus(shortest).times(confirmedFraction));
    }

    /** Returns how many times each update is piggybacked on a datagram. */
    int transmissions(int members) {
        return (int) Math.ceil(TRANSMISSION_FACTOR * Math.max(1, Math.log10(members + 1)));
    }

    /** Returns the mean interval between two anti-entropy syncs. */
    Span syncInterval(int members) {
        double log2 = Math.log(members) / Math.log(2);
        return period.times(SYNC_INTERVAL_PERIODS * Math.max(1, log2 - SYNC_INTERVAL_LOG2_OFFSET));
    }

    /** Returns the mean interval between two attempts to sync with a failed member or an unknown seed. */
    Span reconnectInterval() {
        return period.times(RECONNECT_INTERVAL_PERIODS);
    }

    /**
     * Returns an upper bound of the time until every running, connected member knows that another one has
     * failed: each of them probes it once in two rounds, the suspicion has its maximum length, and the update
     * spreads by gossip. Lost datagrams add to this time, see docs/design/members.md.
     *
     * @param members          the number of members
     * @param healthMultiplier the highest local health multiplier of any member; 1 if all respond in time
     */
    public Span detectionBound(int members, int healthMultiplier) {
        Span probeTime = period.times(2.0 * members * healthMultiplier);
        Span gossipTime = period.times(2.0 * transmissions(members));
        return probeTime.plus(maxSuspicion(members)).plus(gossipTime);
    }
}
