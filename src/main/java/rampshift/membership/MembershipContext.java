package rampshift.membership;

import rampshift.time.Moment;

/**
 * What all parts of the protocol share.
 *
 * @param time    the time of the input that is being handled
 * @param timings the times of the protocol
 * @param self    this process
 * @param members the other members
 * @param random  the source of random draws
 * @param metrics the counters of this member
 * @param output  carries out what is decided
 */
record MembershipContext(InputTime time, MembershipTimings timings, LocalMember self, MemberTable members,
        RandomDraws random, MembershipMetrics metrics, MembershipOutput output) {
    Moment now() {
        return time.now();
    }

    /** Tells of an event of another member. */
    void emit(MembershipEvent.Kind kind, Member member, String detail) {
        output.onEvent(MembershipEvent.of(kind, member.identity(), detail));
    }

    /** Tells of an event of this process. */
    void emitOwn(MembershipEvent.Kind kind, String detail) {
        output.onEvent(MembershipEvent.of(kind, self.identity(), detail));
    }
}
