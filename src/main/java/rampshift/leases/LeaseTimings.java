package rampshift.leases;

import rampshift.time.Span;

/**
 * The times of a lease, as parts of its term.
 *
 * @param term how long a lease belongs to its holder without a renewal
 * @param drift how far a clock may run fast or slow, as a share of true time: 0.01 for a hundredth
 * @param balanceInterval least time between two leases that one dispatcher hands over for balance alone
 */
public record LeaseTimings(Span term, double drift, Span balanceInterval) {

    private static final double ACTING_TERMS = 0.9;
    private static final double RENEWAL_TERMS = 0.3;
    private static final double ATTEMPT_TERMS = 0.08;
    private static final double CHANGE_TERMS = 0.5;
    private static final double POLL_TERMS = 0.2;
    private static final double TAKEOVER_STEP_TERMS = 0.1;
    private static final double MAX_BACKOFF_TERMS = 0.3;
    private static final double MAX_LATENCY_FACTOR = 6;
    private static final double LATENCY_FACTOR_DECAY = 0.95;

    /** How long the holder may act, by its clock from before it requested the acquisition or renewal. */
    Span actingTime() {
        return term.times(ACTING_TERMS);
    }

    /** From a holder's request until its next renewal. */
    Span renewalInterval() {
        return term.times(RENEWAL_TERMS);
    }

    /**
     * How long one attempt waits for replies.
     *
     * @param latencyFactor how many times longer than usual the replies of acceptors have taken lately
     */
    Span attemptTimeout(double latencyFactor) {
        return term.times(ATTEMPT_TERMS * latencyFactor);
    }

    /**
     * After an attempt that timed out: the next gets more time, since a slow disk would never answer one in
     * time.
     */
    double increasedLatencyFactor(double latencyFactor) {
        return Math.min(MAX_LATENCY_FACTOR, latencyFactor * 2);
    }

    /**
     * After an attempt that was answered: the next may take twice as long as this one did, and one that soon
     * follows a slower one as long as that.
     */
    double latencyFactorAfter(double latencyFactor, Span elapsed) {
        double decayed = latencyFactor * LATENCY_FACTOR_DECAY;
        double required = 2 * elapsed.over(term) / ATTEMPT_TERMS;
        return Math.max(1, Math.min(MAX_LATENCY_FACTOR, Math.max(decayed, required)));
    }

    /** How long one change may take with all its attempts. */
    Span changeTimeout() {
        return term.times(CHANGE_TERMS);
    }

    /** Time between two reads of a lease that is held elsewhere. */
    Span pollInterval() {
        return term.times(POLL_TERMS);
    }

    /** The longest backoff after an attempt that another process has outbid. */
    Span maxBackoff() {
        return term.times(MAX_BACKOFF_TERMS);
    }

    /** Contenders for one lease wait for this times their rank, so that they do not outbid each other. */
    Span takeoverStep() {
        return term.times(TAKEOVER_STEP_TERMS);
    }

    /**
     * How long a contender waits from its first observation of a value, by its own clock: by then the
     * holder's clock, as slow as allowed, has gone through the term, even if its own clock is as fast as
     * allowed.
     *
     * @param termMicros the term in that value
     */
    Span takeoverDelay(long termMicros) {
        return new Span((long) Math.ceil(termMicros * (1 + drift) / (1 - drift)));
    }
}
