package rampshift.membership;

/** The kinds of messages of the SWIM protocol. */
enum MessageKind implements WireCoded {
    /** A probe of the receiver. */
    PING(0),
    /** The answer to a probe, direct or relayed. */
    ACK(1),
    /** Asks the receiver to probe a third member. */
    PING_REQUEST(2),
    /** Reports to the sender of a ping request that the target did not answer in time. */
    NACK(3),
    /** Carries piggybacked updates and notices only. */
    GOSSIP(4),
    /** Carries the full view of the sender over a stream; answered with {@link #SYNC_RESPONSE}. */
    SYNC_REQUEST(5),
    /** Carries the full view of the receiver of a sync request. */
    SYNC_RESPONSE(6);

    private final byte wireCode;

    MessageKind(int wireCode) {
        this.wireCode = (byte) wireCode;
    }

    @Override
    public byte wireCode() {
        return wireCode;
    }

    /** Returns whether messages of this kind are sent over a stream; the others are sent as datagrams. */
    boolean isSync() {
        return this == SYNC_REQUEST || this == SYNC_RESPONSE;
    }

    /** Returns the body of a message of this kind; kinds without sequence number or target ignore them. */
    MessageBody body(long sequence, String target) {
        return switch (this) {
            case PING -> new MessageBody.Ping(sequence);
            case ACK -> new MessageBody.Ack(sequence, target);
            case PING_REQUEST -> new MessageBody.PingRequest(sequence, target);
            case NACK -> new MessageBody.Nack(sequence, target);
            case GOSSIP -> new MessageBody.Gossip();
            case SYNC_REQUEST -> new MessageBody.SyncRequest();
            case SYNC_RESPONSE -> new MessageBody.SyncResponse();
        };
    }
}
