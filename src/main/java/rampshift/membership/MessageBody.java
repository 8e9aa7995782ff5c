package rampshift.membership;

/** What a message asks or answers. All kinds share one format on the wire, see {@link Codec}. */
sealed interface MessageBody {
    /** The kind of the message. */
    MessageKind kind();

    /** The number of the probe that the message belongs to; 0 if it belongs to none. */
    default long sequence() {
        return 0;
    }

    /** The name of the member that an indirect probe is about; empty if the message is about none. */
    default String target() {
        return "";
    }

    /** A probe of the receiver. */
    record Ping(long sequence) implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.PING;
        }
    }

    /** The answer to a probe. The target is empty unless the answer is relayed for another member. */
    record Ack(long sequence, String target) implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.ACK;
        }
    }

    /** Asks the receiver to probe the target. */
    record PingRequest(long sequence, String target) implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.PING_REQUEST;
        }
    }

    /** The target of a ping request did not answer in time. */
    record Nack(long sequence, String target) implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.NACK;
        }
    }

    /** Carries piggybacked updates and notices only. */
    record Gossip() implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.GOSSIP;
        }
    }

    /** Carries the full view of the sender and asks for that of the receiver. */
    record SyncRequest() implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.SYNC_REQUEST;
        }
    }

    /** Carries the full view of the sender in answer to a sync request. */
    record SyncResponse() implements MessageBody {
        @Override
        public MessageKind kind() {
            return MessageKind.SYNC_RESPONSE;
        }
    }
}
