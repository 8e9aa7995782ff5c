package rampshift.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;

/** Decodes messages of other members and passes their contents to the parts of the protocol. */
final class MessageHandler {
    private final MembershipContext context;
    private final Codec codec;
    private final Gossip gossip;
    private final MemberRegistry registry;
    private final DrainNoticeGossip drainNotices;
    private final FailureDetector failureDetector;

    MessageHandler(MembershipContext context, Codec codec, Gossip gossip, MemberRegistry registry,
            DrainNoticeGossip drainNotices, FailureDetector failureDetector) {
        this.context = context;
        this.codec = codec;
        this.gossip = gossip;
        this.registry = registry;
        this.drainNotices = drainNotices;
        this.failureDetector = failureDetector;
    }

    /**
     * Decodes a message. Returns empty if it is malformed, foreign or addressed to another member, which is
     * counted, or if this process sent it.
     */
    Optional<Message> decode(byte[] bytes, int count) {
        context.metrics().increment(Counter.RECEIVED);
        try {
            Message message = codec.decode(bytes, count);
            if (!message.to().isEmpty() && !context.self().isNamed(message.to())) {
                context.metrics().increment(Counter.MISDIRECTED);
                return Optional.empty();
            }
            return isOwn(message) ? Optional.empty() : Optional.of(message);
        } catch (MalformedMessageException e) {
            context.metrics().increment(e.isForeign() ? Counter.FOREIGN : Counter.MALFORMED);
            return Optional.empty();
        }
    }

    /**
     * Returns whether this process sent the message, to a seed that is this process itself. Another process
     * with the same name has a different identity.
     */
    private boolean isOwn(Message message) {
        MemberIdentity self = context.self().identity();
        return context.self().isNamed(message.from())
                && message.updates().stream().anyMatch(update -> update.member().equals(self));
    }

    /** Merges the contents of a message and, unless this process is leaving, answers it. */
    void handle(Message message) {
        message.updates().forEach(registry::apply);
        for (DrainNotice notice : message.drainNotices()) {
            if (drainNotices.add(notice)) {
                context.output().onDrainNotice(notice);
            }
        }
        if (context.self().isLeaving()) {
            return;
        }
        MessageBody body = message.body();
        if (body instanceof MessageBody.Ping ping) {
            answerPing(message, ping);
        } else if (body instanceof MessageBody.Ack ack) {
            failureDetector.onAck(ack.sequence());
        } else if (body instanceof MessageBody.PingRequest request) {
            failureDetector.onPingRequest(message.from(), request);
        } else if (body instanceof MessageBody.Nack nack) {
            failureDetector.onNack(nack.sequence());
        }
    }

    private void answerPing(Message message, MessageBody.Ping ping) {
        List<MemberUpdate> requiredUpdates = new ArrayList<>(gossip.updatesToRefute(message.from()));
        if (message.updates().stream().anyMatch(this::claimsSelfNotAlive)) {
            requiredUpdates.add(context.self().aliveUpdate()); // the statement that refutes the doubt
        }
        gossip.send(message.from(), new MessageBody.Ack(ping.sequence(), ""), requiredUpdates);
    }

    private boolean claimsSelfNotAlive(MemberUpdate update) {
        return context.self().isNamed(update.member().name()) && update.status() != Status.ALIVE;
    }

    /** Answers the probe of an unknown member at the address that it was sent from. */
    void answerUnknownSender(Message message, String address) {
        MessageBody ack = new MessageBody.Ack(message.body().sequence(), "");
        gossip.sendTo(address, new Message(context.self().name(), message.from(), ack,
                List.of(context.self().aliveUpdate()), List.of()));
    }
}
