package rampshift.leases;

import java.util.List;

/**
 * The common wire layout of all message types; fields that a type does not use are empty.
 *
 * @param type the message type
 * @param number number of the attempt; see {@link Message#number} and {@link Message.HelloReply}
 * @param epoch epoch of the acceptor set
 * @param register name of a register
 * @param ballot ballot of the attempt; in a rejection the promised ballot
 * @param accepted ballot under which the value was accepted
 * @param value value of a register
 * @param names names of registers
 * @param values values of the named registers
 * @param acceptors an encoded acceptor set
 * @param directoryId id of an acceptor's directory
 * @param directory version of an acceptor's directory
 */
record WireMessage(MessageType type, long number, long epoch, String register, Ballot ballot, Ballot accepted,
        LeaseRecord value, List<String> names, List<LeaseRecord> values, String acceptors, long directoryId,
        DirectoryVersion directory) {

    static Builder of(MessageType type, long number, long epoch) {
        return new Builder(type, number, epoch);
    }

    /** Returns a builder of a message that carries an acceptor set. */
    static Builder of(MessageType type, long number, AcceptorSet acceptors) {
        Builder builder = new Builder(type, number, acceptors.epoch());
        builder.acceptors = acceptors.isKnown() ? acceptors.encode() : "";
        return builder;
    }

    /** Converts to the message of this type, without the fields that the type does not use. */
    Message toMessage() {
        return switch (type) {
            case PREPARE -> new Message.Prepare(number, epoch, register, ballot);
            case PROMISE -> new Message.Promise(number, epoch, register, ballot, accepted, value);
            case ACCEPT -> new Message.Accept(number, epoch, register, ballot, value);
            case ACCEPTED -> new Message.Accepted(number, epoch, register, ballot);
            case REJECT -> new Message.Reject(number, epoch, register, ballot, accepted);
            case STALE_EPOCH -> new Message.StaleEpoch(number, acceptorSet());
            case ACCEPTOR_BEHIND -> new Message.AcceptorBehind(number, acceptorSet());
            case NOT_VOTING -> new Message.NotVoting(number, epoch, register);
            case READ -> new Message.Read(number, names);
            case READ_REPLY -> new Message.ReadReply(number, names, values);
            case INSTALL -> new Message.Install(number, acceptorSet());
            case INSTALLED -> new Message.Installed(number, acceptorSet());
            case LIST_REGISTERS -> new Message.ListRegisters(number, epoch, register);
            case REGISTER_LIST -> new Message.RegisterList(number, names);
            case HELLO -> new Message.Hello(number, acceptorSet(), directoryId, directory);
            case HELLO_REPLY -> new Message.HelloReply(number, acceptorSet(), directoryId, directory);
        };
    }

    private AcceptorSet acceptorSet() {
        AcceptorSet parsed = acceptors.isEmpty() ? null : AcceptorSet.parse(acceptors);
        return parsed == null ? AcceptorSet.UNKNOWN : parsed;
    }

    /** Fills in the fields that a type uses. */
    static final class Builder {
        private final MessageType type;
        private final long number;
        private final long epoch;
        private String register = "";
        private Ballot ballot = Ballot.NONE;
        private Ballot accepted = Ballot.NONE;
        private LeaseRecord value = LeaseRecord.INITIAL;
        private List<String> names = List.of();
        private List<LeaseRecord> values = List.of();
        private String acceptors = "";
        private long directoryId;
        private DirectoryVersion directory = DirectoryVersion.NONE;

        private Builder(MessageType type, long number, long epoch) {
            this.type = type;
            this.number = number;
            this.epoch = epoch;
        }

        Builder register(String name) {
            register = name;
            return this;
        }

        Builder ballot(Ballot attemptBallot) {
            ballot = attemptBallot;
            return this;
        }

        Builder accepted(Ballot acceptedBallot) {
            accepted = acceptedBallot;
            return this;
        }

        Builder value(LeaseRecord record) {
            value = record;
            return this;
        }

        Builder names(List<String> registers) {
            names = registers;
            return this;
        }

        Builder values(List<LeaseRecord> records) {
            values = records;
            return this;
        }

        Builder directory(long id, DirectoryVersion version) {
            directoryId = id;
            directory = version;
            return this;
        }

        WireMessage build() {
            return new WireMessage(type, number, epoch, register, ballot, accepted, value, names, values,
                    acceptors, directoryId, directory);
        }
    }
}
