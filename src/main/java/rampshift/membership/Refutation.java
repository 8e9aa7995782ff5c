package rampshift.membership;

import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;

/** Overrules the updates of others about this process by taking a higher incarnation. */
final class Refutation {
    private final MembershipContext context;
    private final Gossip gossip;
    private final LocalHealth localHealth;
    private final NameConflictDetector nameConflicts;

    Refutation(MembershipContext context, Gossip gossip, LocalHealth localHealth,
            NameConflictDetector nameConflicts) {
        this.context = context;
        this.gossip = gossip;
        this.localHealth = localHealth;
        this.nameConflicts = nameConflicts;
    }

    /** Handles an update with the name of this process; it may be about a former or another process. */
    void onUpdateAboutSelf(MemberUpdate update) {
        MemberIdentity claimed = update.member();
        if (isOutdated(update)) {
            return;
        }
        boolean alive = update.status() == Status.ALIVE;
        if (claimed.processId() == context.self().identity().processId()) {
            if (alive || context.self().isLeaving()) {
                return;
            }
            refute(update);
        } else if (alive && claimed.incarnation() > context.self().incarnation()) {
            if (nameConflicts.isAnswerSuppressed()) {
                return;
            }
            nameConflicts.onOverruled(claimed);
        }
        overrule(claimed.incarnation());
    }

    private boolean isOutdated(MemberUpdate update) {
        MemberIdentity self = context.self().identity();
        boolean repeatsSelf = update.status() == Status.ALIVE && update.member().equals(self);
        return repeatsSelf || update.member().incarnation() < self.incarnation();
    }

    private void refute(MemberUpdate update) {
        context.metrics().increment(Counter.REFUTED);
        localHealth.onRefutation();
        context.output().onEvent(MembershipEvent.of(MembershipEvent.Kind.REFUTED, update.member(),
                update.status() + " by " + update.reportedBy()));
    }

    private void overrule(long incarnation) {
        if (incarnation >= MemberIdentity.MAX_INCARNATION) {
            return; // cannot be overruled; operators see the status that the others report
        }
        context.self().overrule(incarnation);
        if (!context.self().isLeaving()) {
            gossip.enqueue(context.self().aliveUpdate());
        }
    }
}
