package rampshift.membership;

import java.util.HashSet;
import java.util.Set;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A suspicion of one member: its start, its deadline and the members that share it. */
final class Suspicion {
    private final Set<String> suspectedBy = new HashSet<>();
    private Moment startedAt;
    private Moment deadline;

    Suspicion(Moment startedAt, String suspectedBy) {
        this.startedAt = startedAt;
        this.suspectedBy.add(suspectedBy);
    }

    /** Returns when the member is declared failed unless it refutes the suspicion first. */
    Moment deadline() {
        return deadline;
    }

    /** Returns the number of members that share the suspicion, without the one that started it. */
    int confirmations() {
        return suspectedBy.size() - 1;
    }

    /** Adds a member that shares the suspicion; returns whether it is new and shortens the suspicion. */
    boolean confirm(String member) {
        return confirmations() < MembershipTimings.MAX_CONFIRMATIONS && suspectedBy.add(member);
    }

    /** Sets the length of the suspicion, counted from its start. */
    void setLength(Span length) {
        deadline = startedAt.plus(length);
    }

    /** Postpones the start and the deadline. */
    void postpone(Span delay) {
        startedAt = startedAt.plus(delay);
        deadline = deadline.plus(delay);
    }
}
