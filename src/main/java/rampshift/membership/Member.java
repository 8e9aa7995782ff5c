package rampshift.membership;

import rampshift.membership.MemberUpdate.Status;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What this process knows of one other member. */
final class Member {
    private MemberUpdate update;
    private Moment since;
    private Suspicion suspicion;

    Member(MemberUpdate update, Moment since) {
        this.update = update;
        this.since = since;
    }

    MemberIdentity identity() {
        return update.member();
    }

    String name() {
        return update.member().name();
    }

    Status status() {
        return update.status();
    }

    /** The newest statement about the member, with the age that it had when it was made or received. */
    MemberUpdate update() {
        return update;
    }

    /** The newest statement about the member, with its age as of now if it has failed or ended. */
    MemberUpdate updateAt(Moment now) {
        if (isReachable()) {
            return update;
        }
        long ageMs = Math.max(0, Math.round(now.since(since).millis()));
        return new MemberUpdate(update.member(), update.status(), update.reportedBy(), ageMs);
    }

    /** Replaces the statement about the member, which holds since the given time. */
    void setUpdate(MemberUpdate newUpdate, Moment newSince) {
        update = newUpdate;
        since = newSince;
    }

    /** For how long the current statement has held. */
    Span age(Moment now) {
        return now.since(since);
    }

    /** Whether the member is alive or suspect. */
    boolean isReachable() {
        return update.status().isReachable();
    }

    /** The current suspicion, or null if there is none. */
    Suspicion suspicion() {
        return suspicion;
    }

    void startSuspicion(Suspicion newSuspicion, Moment now) {
        suspicion = newSuspicion;
        since = now;
    }

    void clearSuspicion() {
        suspicion = null;
    }
}
