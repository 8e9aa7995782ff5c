package rampshift.membership;

/** The request or answer in a message. All kinds share one format on the wire, see {@link Codec}. */
sealed interface MessageBody {
    /** Returns the kind of the message. */
    MessageKind kind();

    /** Returns the sequence number of the probe that the message belongs to; 0 if it belongs to none. */
    default long sequence() {
        return 0;
    }

    /** Returns the target of an indirect probe; empty if the message does not belong to one. */
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

    /** Reports that the target of a ping request did not answer in time. */
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
