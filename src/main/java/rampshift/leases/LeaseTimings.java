package rampshift.leases;

import rampshift.time.Span;

/**
 * The durations of the lease protocol, as fractions of the lease's term.
 *
 * @param term how long a lease belongs to its holder without a renewal
 * @param drift maximum rate by which a clock may run fast or slow, as a fraction of true time: 0.01 for 1%
 * @param balanceInterval minimum time between two leases that a dispatcher hands over for balance alone
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

    /**
     * Returns how long the holder may act, by its clock, from before it requested the acquisition or renewal.
     */
    Span actingTime() {
        return term.times(ACTING_TERMS);
    }

    /** Returns the time from a holder's request until its next renewal. */
    Span renewalInterval() {
        return term.times(RENEWAL_TERMS);
    }

    /**
     * Returns how long one attempt waits for replies.
     *
     * @param latencyFactor factor by which recent replies of acceptors took longer than usual
     */
    Span attemptTimeout(double latencyFactor) {
        return term.times(ATTEMPT_TERMS * latencyFactor);
    }

    /**
     * Returns the latency factor after an attempt timed out. It is higher, since an acceptor with a slow disk
     * would never reply within the unchanged timeout.
     */
    double increasedLatencyFactor(double latencyFactor) {
        return Math.min(MAX_LATENCY_FACTOR, latencyFactor * 2);
    }

    /**
     * Returns the latency factor after an attempt got its replies. The next attempt may take twice as long as
     * this one did; the factor decays slowly, so that attempts soon after a slow one still get enough time.
     */
    double latencyFactorAfter(double latencyFactor, Span elapsed) {
        double decayed = latencyFactor * LATENCY_FACTOR_DECAY;
        double required = 2 * elapsed.over(term) / ATTEMPT_TERMS;
        return Math.max(1, Math.min(MAX_LATENCY_FACTOR, Math.max(decayed, required)));
    }

    /** Returns how long one change may take with all its attempts. */
    Span changeTimeout() {
        return term.times(CHANGE_TERMS);
    }

    /** Returns the time between two reads of a lease that this dispatcher does not hold. */
    Span pollInterval() {
        return term.times(POLL_TERMS);
    }

    /** Returns the maximum backoff, at a latency factor of 1, after a higher ballot rejected an attempt. */
    Span maxBackoff() {
        return term.times(MAX_BACKOFF_TERMS);
    }

    /** Returns the delay per rank of a contender, so that contenders do not reject each other's ballots. */
    Span takeoverStep() {
        return term.times(TAKEOVER_STEP_TERMS);
    }

    /**
     * Returns how long a contender waits by its own clock after it first observed a value: long enough that
     * the term has passed by the holder's clock even if that runs as slow, and the contender's as fast, as
     * the drift permits.
     *
     * @param termMicros the term in the observed value, in microseconds
     */
    Span takeoverDelay(long termMicros) {
        return new Span((long) Math.ceil(termMicros * (1 + drift) / (1 - drift)));
    }
}
