package rampshift.membership;

import java.util.List;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Suspects members, and declares those failed that do not refute the suspicion in time. */
final class Suspicions {
    private final MembershipContext context;
    private final Gossip gossip;

    Suspicions(MembershipContext context, Gossip gossip) {
        this.context = context;
        this.gossip = gossip;
    }

    /** Suspects a member that answered neither the direct nor the indirect probes of this process. */
    void onProbeFailed(String name) {
        Member member = context.members().get(name);
        if (member == null || !member.isReachable()) {
            return;
        }
        String self = context.self().name();
        MemberUpdate suspect = MemberUpdate.of(member.identity(), Status.SUSPECT, self);
        if (member.status() == Status.SUSPECT) {
            confirm(member, suspect);
            return;
        }
        context.metrics().increment(Counter.SUSPECTED);
        member.setUpdate(suspect, context.now());
        gossip.enqueue(suspect);
        start(member, self);
    }

    /** Starts the suspicion of a member whose status has become suspect. */
    void start(Member member, String suspectedBy) {
        Suspicion suspicion = new Suspicion(context.now(), suspectedBy);
        member.startSuspicion(suspicion, context.now());
        updateLength(suspicion);
        context.emit(MembershipEvent.Kind.SUSPECTED, member, "by " + suspectedBy);
    }

    /** Shortens a suspicion that another member shares. */
    void confirm(Member member, MemberUpdate update) {
        Suspicion suspicion = member.suspicion();
        if (suspicion.confirm(update.reportedBy())) {
            gossip.enqueue(update);
            updateLength(suspicion);
        }
    }

    private void updateLength(Suspicion suspicion) {
        int reachable = context.members().reachableCount();
        int potentialConfirmations = reachable - 2; // excludes the suspected member and its first reporter
        suspicion.setLength(
                context.timings().suspicion(reachable, suspicion.confirmations(), potentialConfirmations));
    }

    /** Declares the members failed whose suspicion has reached its deadline. */
    void onWake() {
        for (Member member : List.copyOf(context.members().all())) {
            Suspicion suspicion = member.suspicion();
            if (suspicion == null || context.now().before(suspicion.deadline())) {
                continue;
            }
            String self = context.self().name();
            member.clearSuspicion();
            member.setUpdate(MemberUpdate.of(member.identity(), Status.FAILED, self), context.now());
            gossip.enqueue(member.update());
            context.emit(MembershipEvent.Kind.FAILED, member, "by " + self);
        }
    }

    /** Postpones all suspicions after a stall, since refutations may not have been read yet. */
    void onStall(Span stall) {
        for (Member member : context.members().all()) {
            if (member.suspicion() != null) {
                member.suspicion().postpone(stall);
            }
        }
    }

    /** Returns the earliest of the given time and the deadlines of the suspicions. */
    Moment earliestWake(Moment other) {
        Moment earliest = other;
        for (Member member : context.members().all()) {
            if (member.suspicion() != null) {
                earliest = earliest.orEarlier(member.suspicion().deadline());
            }
        }
        return earliest;
    }
}
