package rampshift.leases;

/** The message types with their wire codes. The meaning of a code never changes. */
enum MessageType {
    /** {@link Message.Prepare}. */
    PREPARE(0),
    /** {@link Message.Promise}. */
    PROMISE(1),
    /** {@link Message.Accept}. */
    ACCEPT(2),
    /** {@link Message.Accepted}. */
    ACCEPTED(3),
    /** {@link Message.Reject}. */
    REJECT(4),
    /** {@link Message.StaleEpoch}. */
    STALE_EPOCH(5),
    /** {@link Message.AcceptorBehind}. */
    ACCEPTOR_BEHIND(6),
    /** {@link Message.NotVoting}. */
    NOT_VOTING(7),
    /** {@link Message.Read}. */
    READ(8),
    /** {@link Message.ReadReply}. */
    READ_REPLY(9),
    /** {@link Message.Install}. */
    INSTALL(10),
    /** {@link Message.Installed}. */
    INSTALLED(11),
    /** {@link Message.ListRegisters}. */
    LIST_REGISTERS(12),
    /** {@link Message.RegisterList}. */
    REGISTER_LIST(13),
    /** {@link Message.Hello}. */
    HELLO(14),
    /** {@link Message.HelloReply}. */
    HELLO_REPLY(15);

    private final int code;

    MessageType(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    /** Returns the type with this code; null if there is none. */
    static MessageType ofCode(int code) {
        for (MessageType type : values()) {
            if (type.code == code) {
                return type;
            }
        }
        return null;
    }
}
