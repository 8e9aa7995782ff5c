package rampshift.membership;

import java.util.ArrayList;
import java.util.List;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;

/** Sends datagrams and piggybacks updates and drain notices on them, each a limited number of times. */
final class Gossip {
    private final MembershipContext context;
    private final Codec codec;
    private final GossipQueue<MemberUpdate> updates = new GossipQueue<>();
    private final GossipQueue<DrainNotice> drainNotices = new GossipQueue<>();

    Gossip(MembershipContext context, Codec codec) {
        this.context = context;
        this.codec = codec;
    }

    void enqueue(MemberUpdate update) {
        updates.put(update.member().name(), update);
    }

    void enqueue(DrainNotice notice) {
        drainNotices.put(notice.worker(), notice);
    }

    /** Returns the update that a member must receive to refute it: its status, unless it is alive. */
    List<MemberUpdate> updatesToRefute(String name) {
        Member member = context.members().get(name);
        if (member == null || member.status() == Status.ALIVE) {
            return List.of();
        }
        return List.of(member.updateAt(context.now()));
    }

    /** Sends a message to a member if it is known. */
    void send(String to, MessageBody body) {
        send(to, body, List.of());
    }

    /** Sends a message to a member if it is known. The given updates are always included. */
    void send(String to, MessageBody body, List<MemberUpdate> requiredUpdates) {
        Member member = context.members().get(to);
        if (member == null) {
            return;
        }
        String self = context.self().name();
        List<MemberUpdate> sentUpdates = new ArrayList<>(requiredUpdates);
        int capacity = Codec.piggybackCapacity(self, to, body);
        for (MemberUpdate update : requiredUpdates) {
            capacity -= Codec.sizeOf(update);
        }
        int transmissions = context.timings().transmissions(context.members().reachableCount());
        List<DrainNotice> sentNotices = drainNotices.take(capacity, transmissions, Codec::sizeOf);
        for (DrainNotice notice : sentNotices) {
            capacity -= Codec.sizeOf(notice);
        }
        sentUpdates.addAll(updates.take(capacity, transmissions, Codec::sizeOf));
        sendTo(context.members().addressOf(member), new Message(self, to, body, sentUpdates, sentNotices));
    }

    /** Sends a message to an address without piggybacking anything on it. */
    void sendTo(String address, Message message) {
        byte[] datagram = codec.encode(message);
        context.metrics().increment(Counter.SENT);
        context.metrics().add(Counter.SENT_BYTES, datagram.length);
        context.output().sendDatagram(address, datagram);
    }
}
