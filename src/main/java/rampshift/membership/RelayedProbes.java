package rampshift.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;

/** The indirect probes that this process sends for other members, to which it relays the answers. */
final class RelayedProbes {
    private record Relay(String requester, String target, long requesterSequence, Moment deadline) {
    }

    private final MembershipContext context;
    private final Gossip gossip;
    private final SequenceNumbers sequenceNumbers;
    private final Map<Long, Relay> bySequence = new LinkedHashMap<>();

    RelayedProbes(MembershipContext context, Gossip gossip, SequenceNumbers sequenceNumbers) {
        this.context = context;
        this.gossip = gossip;
        this.sequenceNumbers = sequenceNumbers;
    }

    /** Probes the target of a request, or immediately answers with a nack if the target is unknown. */
    void onPingRequest(String requester, MessageBody.PingRequest request) {
        String target = request.target();
        if (!context.members().contains(target)) {
            gossip.send(requester, new MessageBody.Nack(request.sequence(), target));
            return;
        }
        if (bySequence.size() >= Codec.MAX_MEMBERS) {
            context.metrics().increment(Counter.OVER_CAPACITY);
            return;
        }
        long sequence = sequenceNumbers.next();
        Moment deadline = context.now().plus(context.timings().ackTimeout());
        bySequence.put(sequence, new Relay(requester, target, request.sequence(), deadline));
        gossip.send(target, new MessageBody.Ping(sequence), gossip.updatesToRefute(target));
    }

    /** Relays an ack if it belongs to a relayed probe; returns whether it does. */
    boolean onAck(long sequence) {
        Relay relay = bySequence.remove(sequence);
        if (relay == null) {
            return false;
        }
        gossip.send(relay.requester(), new MessageBody.Ack(relay.requesterSequence(), relay.target()));
        return true;
    }

    /** Sends a nack for each relayed probe that was not answered in time. */
    void onWake() {
        for (Map.Entry<Long, Relay> entry : List.copyOf(bySequence.entrySet())) {
            Relay relay = entry.getValue();
            if (!context.now().before(relay.deadline())) {
                bySequence.remove(entry.getKey());
                gossip.send(relay.requester(),
                        new MessageBody.Nack(relay.requesterSequence(), relay.target()));
            }
        }
    }

    /** Drops all relayed probes. */
    void onStall() {
        bySequence.clear();
    }

    /** Returns the earliest of the given time and the deadlines of the relayed probes. */
    Moment earliestWake(Moment other) {
        Moment earliest = other;
        for (Relay relay : bySequence.values()) {
            earliest = earliest.orEarlier(relay.deadline());
        }
        return earliest;
    }
}
