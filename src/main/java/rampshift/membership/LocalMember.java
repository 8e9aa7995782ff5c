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

    /** Returns whether this process is leaving, or has left, the fleet. */
    boolean isLeaving() {
        return leaving;
    }

    boolean isNamed(String name) {
        return identity.name().equals(name);
    }

    /** Enters another phase and takes a higher incarnation, unless it has the highest already. */
    void setPhase(MemberIdentity.Phase phase) {
        long higher = Math.min(MemberIdentity.MAX_INCARNATION, identity.incarnation() + 1);
        identity = identity.withPhase(phase, higher);
    }

    /** Marks this process as leaving; it doesn't join again. */
    void leave() {
        leaving = true;
        setPhase(MemberIdentity.Phase.STOPPING);
    }

    /** Takes the next incarnation after the given one, which must be below the maximum. */
    void overrule(long incarnation) {
        identity = identity.withIncarnation(incarnation + 1);
    }

    /** Returns an update that states that this process is alive. */
    MemberUpdate aliveUpdate() {
        return MemberUpdate.of(identity, Status.ALIVE, name());
    }

    /** Returns an update with the status of this process: ended if it is leaving, else alive. */
    MemberUpdate currentUpdate() {
        return MemberUpdate.of(identity, leaving ? Status.ENDED : Status.ALIVE, name());
    }
}
