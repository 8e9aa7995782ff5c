package rampshift.membership;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Spreads drain notices. New ones are sent to a few members immediately, since the grace period of a drain is
 * short.
 */
final class DrainNoticeGossip {
    /** The delay before new notices are sent, so that those of one endpoint list share a datagram. */
    private static final Span SEND_DELAY = Span.ofMillis(2);

    private final MembershipContext context;
    private final Gossip gossip;
    private final DrainNotices notices = new DrainNotices();
    private Moment sendAt;

    DrainNoticeGossip(MembershipContext context, Gossip gossip) {
        this.context = context;
        this.gossip = gossip;
    }

    DrainNotices notices() {
        return notices;
    }

    /** Stores and spreads a notice if it is newer than the known one; returns whether it is. */
    boolean add(DrainNotice notice) {
        if (!notices.add(notice)) {
            return false;
        }
        gossip.enqueue(notice);
        if (sendAt == null) {
            sendAt = context.now().plus(SEND_DELAY);
        }
        return true;
    }

    /** Sends the new notices if their delay has passed. */
    void onWake() {
        if (sendAt == null || context.now().before(sendAt)) {
            return;
        }
        sendAt = null;
        for (Member member : context.members().sample(MembershipTimings.DRAIN_NOTICE_FANOUT)) {
            gossip.send(member.name(), new MessageBody.Gossip());
        }
    }

    /** Returns the earlier of the given time and the time of the next send. */
    Moment earliestWake(Moment other) {
        return sendAt == null ? other : other.orEarlier(sendAt);
    }
}
