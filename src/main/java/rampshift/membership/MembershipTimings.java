package rampshift.membership;

import rampshift.time.Span;

/**
 * The times of the protocol, all derived from one period and the operator's word on forgetting. Period: one
 * member is
 * asked in each, 20 ms at least.
 */
public record MembershipTimings(Span period, Span forget) {
    private static final double ANSWER_BY = 0.25;       // of the period, then others are asked to ask
    static final int HELPERS = 3;
    private static final double SUSPECT_LEAST = 3;      // periods, times log10 of the members (1 at least)
    private static final double SUSPECT_MOST = 4;       // times the least, while nobody else suspects it
    static final int CONFIRMED_BY = 3;
    // times log10 of the members, rounded up: of each word
    private static final double TOLD = 4;
    static final int MOST_LATE = 8;                     // how far its own lateness stretches a member's times
    private static final double WHOLE_EVERY = 20;       // periods, times log2 of the members past 32
    private static final double MISSED_EVERY = 4;       // periods from one look at a missing one to the next
    static final int FAN = 4;                           // members that are told fresh news at once

    Span answerBy() {
        return period.times(ANSWER_BY);
    }

    Span leastSuspicion(int members) {
        return period.times(SUSPECT_LEAST * Math.max(1, Math.log10(Math.max(1, members))));
    }

    Span mostSuspicion(int members) {
        return leastSuspicion(members).times(SUSPECT_MOST);
    }

    /** From the first suspicion on, with so many others that suspect it too, of so many that could. */
    Span suspicion(int members, int others, int could) {
        Span least = leastSuspicion(members);
        int needed = Math.min(CONFIRMED_BY, could);
        if (needed < 1) {
            return least;
        }
        double part = Math.log(Math.min(others, needed) + 1) / Math.log(needed + 1);
        return mostSuspicion(members).minus(mostSuspicion(members).minus(least).times(part));
    }

    int tellings(int members) {
        return (int) Math.ceil(TOLD * Math.max(1, Math.log10(members + 1)));
    }

    Span wholeEvery(int members) {
        return period.times(WHOLE_EVERY * Math.max(1, Math.log(members) / Math.log(2) - 4));
    }

    Span missedEvery() {
        return period.times(MISSED_EVERY);
    }

    /**
     * By when every member that is there and can reach the others knows that one has failed, while each is at
     * most so
     * late itself (1: in time): it is asked once in every two rounds of the rest by each of them, is
     * suspected for the
     * longest time, and word of it goes round. What a lost datagram adds comes on top, see
     * docs/design/members.md.
     */
    public Span knownBy(int members, int late) {
        return period.times(2.0 * members * late).plus(mostSuspicion(members))
                .plus(period.times(2.0 * tellings(members)));
    }
}
