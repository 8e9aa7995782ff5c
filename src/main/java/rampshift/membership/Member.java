package rampshift.membership;

import rampshift.membership.MemberUpdate.Status;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The state of one other member as this process knows it. */
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

    /** Returns the newest update about the member, with the age that it had when it was made or received. */
    MemberUpdate update() {
        return update;
    }

    /** Returns the newest update about the member, with its current age if the member has failed or ended. */
    MemberUpdate updateAt(Moment now) {
        if (isReachable()) {
            return update;
        }
        long ageMs = Math.max(0, Math.round(now.since(since).millis()));
        return new MemberUpdate(update.member(), update.status(), update.reportedBy(), ageMs);
    }

    /** Replaces the update about the member; the new one has been valid since the given time. */
    void setUpdate(MemberUpdate newUpdate, Moment newSince) {
        update = newUpdate;
        since = newSince;
    }

    /** Returns how long the current update has been valid. */
    Span age(Moment now) {
        return now.since(since);
    }

    /** Returns whether the member is alive or suspect. */
    boolean isReachable() {
        return update.status().isReachable();
    }

    /** Returns the current suspicion, or null if there is none. */
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
