package rampshift.leases;

import rampshift.time.Span;

/**
 * Times of a lease, as parts of its term.
 *
 * @param term how long a lease is its holder's without being renewed
 * @param drift how far a clock may run fast or slow, as a share: 0.01 for a hundredth
 * @param balanceEvery at least between two moves of leases by one dispatcher only for balance
 */
public record LeaseTimings(Span term, double drift, Span balanceEvery) {

    private static final double ACT = 0.9;
    private static final double RENEW = 0.3;
    private static final double ATTEMPT = 0.08;
    private static final double ASK = 0.5;
    private static final double SLOWEST = 6;
    private static final double FADE = 0.95;
    private static final double LOOK = 0.2;
    private static final double STEP = 0.1;
    private static final double BACK_OFF = 0.3;

    /** From before it asked, on its own clock: the holder acts so long. */
    Span actFor() {
        return term.times(ACT);
    }

    Span renewAfter() {
        return term.times(RENEW);
    }

    /** One attempt, until the answers are given up; slow: how many times longer keepers have taken lately. */
    Span attemptFor(double slow) {
        return term.times(ATTEMPT * slow);
    }

    /**
     * After an attempt in vain: the next is given more time, since a slow disk would never answer one in
     * time.
     */
    double slower(double slow) {
        return Math.min(SLOWEST, slow * 2);
    }

    /**
     * After one that was answered in so long: the next may take twice that, and soon after a slower one as
     * long as that.
     */
    double fitting(double slow, Span took) {
        return Math.max(1, Math.min(SLOWEST, Math.max(slow * FADE, 2 * took.over(term) / ATTEMPT)));
    }

    /** One change with all its attempts; the next counts its time anew. */
    Span askFor() {
        return term.times(ASK);
    }

    Span lookEvery() {
        return term.times(LOOK);
    }

    /** At most, after another's attempt was in the way. */
    Span backOff() {
        return term.times(BACK_OFF);
    }

    /**
     * Between those who would take a lease that is free: who comes later in its order waits so much longer.
     */
    Span step() {
        return term.times(STEP);
    }

    /**
     * From when a value was seen to stand, on the clock of the one that waits: by then its holder's clock, as
     * slow as
     * allowed, has gone through the term, though the own one is as fast as allowed.
     */
    Span takeAfter(long micros) {
        return new Span((long) Math.ceil(micros * (1 + drift) / (1 - drift)));
    }
}
