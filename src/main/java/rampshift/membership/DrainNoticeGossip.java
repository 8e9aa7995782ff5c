package rampshift.membership;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Spreads drain notices: a new one goes to a few members at once, since the grace period of a drain is short.
 */
final class DrainNoticeGossip {
    /** The notices of one endpoint list go in one datagram. */
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

    /** Keeps and spreads a notice unless one as new is known; returns whether it was new. */
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

    /** Sends the new notices if it is time to. */
    void onWake() {
        if (sendAt == null || context.now().before(sendAt)) {
            return;
        }
        sendAt = null;
        for (Member member : context.members().sample(MembershipTimings.DRAIN_NOTICE_FANOUT)) {
            gossip.send(member.name(), new MessageBody.Gossip());
        }
    }

    /** The given time, or the time of the next send if that is earlier. */
    Moment earliestWake(Moment other) {
        return sendAt == null ? other : other.orEarlier(sendAt);
    }
}
