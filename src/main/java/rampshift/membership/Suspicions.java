package rampshift.membership;

import java.util.List;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Suspects members, and takes those for failed that do not refute the suspicion in time. */
final class Suspicions {
    private final MembershipContext context;
    private final Gossip gossip;

    Suspicions(MembershipContext context, Gossip gossip) {
        this.context = context;
        this.gossip = gossip;
    }

    /** A probe of this process got no answer, neither directly nor by way of others. */
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

    /** Another member suspects a suspected member, too: the suspicion gets shorter. */
    void confirm(Member member, MemberUpdate update) {
        Suspicion suspicion = member.suspicion();
        if (suspicion.confirm(update.reportedBy())) {
            gossip.enqueue(update);
            updateLength(suspicion);
        }
    }

    private void updateLength(Suspicion suspicion) {
        int reachable = context.members().reachableCount();
        int couldConfirm = reachable - 2; // neither the suspected member nor the first that suspects it
        suspicion.setLength(context.timings().suspicion(reachable, suspicion.confirmations(), couldConfirm));
    }

    /** Takes those members for failed whose suspicion has ended. */
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

    /** This process stood still: refutations may lie unread, so all suspicions are put off. */
    void onStall(Span stall) {
        for (Member member : context.members().all()) {
            if (member.suspicion() != null) {
                member.suspicion().postpone(stall);
            }
        }
    }

    /** The given time, or the end of the next suspicion if that is earlier. */
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
