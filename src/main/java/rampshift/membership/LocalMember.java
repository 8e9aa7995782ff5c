package rampshift.membership;

import rampshift.membership.MemberUpdate.Status;

/** The identity of this process, and whether it is leaving the fleet. */
final class LocalMember {
    private MemberIdentity identity;
    private boolean leaving;

    LocalMember(MemberIdentity identity) {
        this.identity = identity;
    }

    MemberIdentity identity() {
        return identity;
    }

    String name() {
        return identity.name();
    }

    long incarnation() {
        return identity.incarnation();
    }

    /** Whether this process has told the others that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    boolean isNamed(String name) {
        return identity.name().equals(name);
    }

    /** Enters another phase, under a higher incarnation. */
    void setPhase(MemberIdentity.Phase phase) {
        long higher = Math.min(MemberIdentity.MAX_INCARNATION, identity.incarnation() + 1);
        identity = identity.withPhase(phase, higher);
    }

    /** Leaves the fleet for good. */
    void leave() {
        leaving = true;
        setPhase(MemberIdentity.Phase.STOPPING);
    }

    /** Takes an incarnation above the given one, which must be below the highest. */
    void overrule(long incarnation) {
        identity = identity.withIncarnation(incarnation + 1);
    }

    /** The statement of this process that it is alive. */
    MemberUpdate aliveUpdate() {
        return MemberUpdate.of(identity, Status.ALIVE, name());
    }

    /** The statement of this process about itself: alive, or ended where it is leaving. */
    MemberUpdate currentUpdate() {
        return MemberUpdate.of(identity, leaving ? Status.ENDED : Status.ALIVE, name());
    }
}
