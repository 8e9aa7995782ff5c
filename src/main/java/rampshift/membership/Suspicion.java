package rampshift.membership;

import java.util.HashSet;
import java.util.Set;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One suspicion of a member: since when it holds, when it ends, and who shares it. */
final class Suspicion {
    private final Set<String> suspectedBy = new HashSet<>();
    private Moment startedAt;
    private Moment deadline;

    Suspicion(Moment startedAt, String suspectedBy) {
        this.startedAt = startedAt;
        this.suspectedBy.add(suspectedBy);
    }

    /** When the member is taken for failed, unless it refutes the suspicion before. */
    Moment deadline() {
        return deadline;
    }

    /** The number of members that share the suspicion beside the one that raised it. */
    int confirmations() {
        return suspectedBy.size() - 1;
    }

    /** Adds a member that suspects the same; returns whether that was new and counts. */
    boolean confirm(String member) {
        return confirmations() < MembershipTimings.MAX_CONFIRMATIONS && suspectedBy.add(member);
    }

    /** Sets the length of the suspicion, counted from its start. */
    void setLength(Span length) {
        deadline = startedAt.plus(length);
    }

    /** Puts start and end off. */
    void postpone(Span delay) {
        startedAt = startedAt.plus(delay);
        deadline = deadline.plus(delay);
    }
}
