package rampshift.membership;

import java.util.List;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Merges updates into the view of the other members, and removes those that failed or ended long ago. */
final class MemberRegistry {
    private final MembershipContext context;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final ProbeOrder probeOrder;
    private final Refutation refutation;

    MemberRegistry(MembershipContext context, Gossip gossip, Suspicions suspicions, ProbeOrder probeOrder,
            Refutation refutation) {
        this.context = context;
        this.gossip = gossip;
        this.suspicions = suspicions;
        this.probeOrder = probeOrder;
        this.refutation = refutation;
    }

    /** Merges an update and forwards it if it is new. */
    void apply(MemberUpdate update) {
        String name = update.member().name();
        if (context.self().isNamed(name)) {
            refutation.onUpdateAboutSelf(update);
            return;
        }
        Member member = context.members().get(name);
        if (member == null) {
            add(update);
        } else if (update.supersedes(member.update())) {
            replace(member, update);
        } else if (isConfirmation(member, update)) {
            suspicions.confirm(member, update);
        }
    }

    private static boolean isConfirmation(Member member, MemberUpdate update) {
        return update.status() == Status.SUSPECT && member.status() == Status.SUSPECT
                && update.member().incarnation() == member.identity().incarnation();
    }

    private void add(MemberUpdate update) {
        if (context.members().isFull()) {
            context.metrics().increment(Counter.OVER_CAPACITY);
            return;
        }
        boolean reachable = update.status().isReachable();
        if (!reachable && update.ageMs() >= context.timings().forgetAfter().millis()) {
            return; // the other members drop it soon, too
        }
        Member member = new Member(update, statusSince(update));
        context.members().add(member);
        gossip.enqueue(update);
        String detail = "by " + update.reportedBy();
        switch (update.status()) {
            case ALIVE -> context.emit(MembershipEvent.Kind.JOINED, member, detail);
            case SUSPECT -> suspicions.start(member, update.reportedBy());
            case FAILED -> context.emit(MembershipEvent.Kind.FAILED, member, detail);
            default -> context.emit(MembershipEvent.Kind.ENDED, member, detail);
        }
        probeOrder.add(member);
    }

    private void replace(Member member, MemberUpdate update) {
        MemberUpdate previous = member.update();
        member.setUpdate(update, statusSince(update));
        gossip.enqueue(update);
        if (update.status() == Status.SUSPECT) {
            suspicions.start(member, update.reportedBy());
            return;
        }
        member.clearSuspicion();
        switch (update.status()) {
            case ALIVE -> emitAlive(member, previous);
            case FAILED -> context.emit(MembershipEvent.Kind.FAILED, member, "by " + update.reportedBy());
            default -> context.emit(MembershipEvent.Kind.ENDED, member, "in order");
        }
    }

    private void emitAlive(Member member, MemberUpdate previous) {
        boolean anotherProcess = member.identity().processId() != previous.member().processId();
        String detail = anotherProcess ? "another process" : member.identity().phase().name();
        MembershipEvent.Kind kind = MembershipEvent.Kind.CHANGED;
        if (anotherProcess || !previous.status().isReachable()) {
            kind = MembershipEvent.Kind.JOINED;
        } else if (previous.status() == Status.SUSPECT) {
            kind = MembershipEvent.Kind.CLEARED;
        }
        context.emit(kind, member, detail);
    }

    private Moment statusSince(MemberUpdate update) {
        return context.now().minus(Span.ofMillis((double) update.ageMs()));
    }

    /** Removes the members that failed or ended longer ago than the configured time. */
    void forgetExpired() {
        Span forgetAfter = context.timings().forgetAfter();
        for (Member member : List.copyOf(context.members().all())) {
            if (!member.isReachable() && member.age(context.now()).longerThan(forgetAfter)) {
                context.members().remove(member);
                context.emit(MembershipEvent.Kind.FORGOTTEN, member, "after " + forgetAfter.seconds() + " s");
            }
        }
    }
}
