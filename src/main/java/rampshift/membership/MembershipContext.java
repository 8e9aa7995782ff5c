package rampshift.membership;

import rampshift.time.Moment;

/**
 * The state shared by all parts of the protocol.
 *
 * @param time    the time of the current input
 * @param timings the intervals and timeouts of the protocol
 * @param self    this process
 * @param members the other members
 * @param random  the source of random draws
 * @param metrics the counters of this member
 * @param output  carries out the decisions
 */
record MembershipContext(InputTime time, MembershipTimings timings, LocalMember self, MemberTable members,
        RandomDraws random, MembershipMetrics metrics, MembershipOutput output) {
    Moment now() {
        return time.now();
    }

    /** Emits an event about another member. */
    void emit(MembershipEvent.Kind kind, Member member, String detail) {
        output.onEvent(MembershipEvent.of(kind, member.identity(), detail));
    }

    /** Emits an event about this process. */
    void emitOwn(MembershipEvent.Kind kind, String detail) {
        output.onEvent(MembershipEvent.of(kind, self.identity(), detail));
    }
}
