package rampshift.leases;

import java.util.List;

/** A message between a dispatcher and an acceptor. */
sealed interface Message {
    /** The number of the attempt that a request belongs to, repeated in its reply; 0 where there is none. */
    long number();

    /** The message in the layout that all types share on the wire. */
    WireMessage toWire();

    /** A message that acceptors handle. */
    sealed interface Request extends Message {}

    /** A request of a proposer, which an acceptor answers only while it votes and in its own epoch. */
    sealed interface Vote extends Request {
        /** The epoch of the acceptor set by which the proposer counts its quorum. */
        long epoch();

        String register();

        Ballot ballot();
    }

    /** An answer to a {@link Vote} that decides something about its attempt. */
    sealed interface VoteReply extends Message {}

    /** Phase 1: asks for a promise to accept nothing under a lower ballot. */
    record Prepare(long number, long epoch, String register, Ballot ballot) implements Vote {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.PREPARE, number, epoch).register(register).ballot(ballot)
                    .build();
        }
    }

    /** The promise of {@link Prepare}, with the value accepted last and its ballot. */
    record Promise(long number, long epoch, String register, Ballot ballot, Ballot accepted,
            LeaseRecord value) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.PROMISE, number, epoch).register(register).ballot(ballot)
                    .accepted(accepted).value(value).build();
        }
    }

    /** Phase 2: asks to accept a value. */
    record Accept(long number, long epoch, String register, Ballot ballot,
            LeaseRecord value) implements Vote {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPT, number, epoch).register(register).ballot(ballot)
                    .value(value).build();
        }
    }

    /**
     * The value of {@link Accept} is accepted, and the next ballot of the same process is promised with it.
     */
    record Accepted(long number, long epoch, String register, Ballot ballot) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPTED, number, epoch).register(register).ballot(ballot)
                    .accepted(ballot).build();
        }
    }

    /** A higher ballot was promised already. */
    record Reject(long number, long epoch, String register, Ballot promised,
            Ballot accepted) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.REJECT, number, epoch).register(register).ballot(promised)
                    .accepted(accepted).build();
        }
    }

    /** The acceptor does not vote, or has no room for another register. */
    record NotVoting(long number, long epoch, String register) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.NOT_VOTING, number, epoch).register(register).build();
        }
    }

    /** The proposer's epoch is over; the acceptor's set follows it. */
    record StaleEpoch(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.STALE_EPOCH, number, acceptors).build();
        }
    }

    /** The proposer's epoch is newer than the acceptor's, which asks for the newer set. */
    record AcceptorBehind(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPTOR_BEHIND, number, acceptors).build();
        }
    }

    /** Asks for the accepted values of registers without a promise. */
    record Read(long number, List<String> registers) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.READ, number, 0).names(registers).build();
        }
    }

    /** The values that one acceptor has accepted, which a quorum may not have; in the order of the names. */
    record ReadReply(long number, List<String> registers, List<LeaseRecord> values) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.READ_REPLY, number, 0).names(registers).values(values).build();
        }
    }

    /** Tells an acceptor the set that is in force. */
    record Install(long number, AcceptorSet acceptors) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.INSTALL, number, acceptors).build();
        }
    }

    /** The set that the acceptor has on disk after {@link Install}. */
    record Installed(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.INSTALLED, number, acceptors).build();
        }
    }

    /** Asks for the names of registers that sort after a name. */
    record ListRegisters(long number, long epoch, String after) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.LIST_REGISTERS, number, epoch).register(after).build();
        }
    }

    /** Names of registers in their order; none once all have been listed. */
    record RegisterList(long number, List<String> registers) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.REGISTER_LIST, number, 0).names(registers).build();
        }
    }

    /**
     * Asks a dispatcher for its acceptor set and for its directory's id.
     *
     * @param directoryId id of the sender's directory; 0 where the sender is no acceptor
     * @param directory how far that directory has come
     */
    record Hello(long number, AcceptorSet acceptors, long directoryId,
            DirectoryVersion directory) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.HELLO, number, acceptors).directory(directoryId, directory)
                    .build();
        }
    }

    /**
     * Answers {@link Hello}.
     *
     * @param number how often the asking directory has been started
     * @param directoryId id of the answering directory; 0 where it is none
     * @param witnessed how far the asking directory had come when the answering one last heard of it
     */
    record HelloReply(long number, AcceptorSet acceptors, long directoryId,
            DirectoryVersion witnessed) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.HELLO_REPLY, number, acceptors)
                    .directory(directoryId, witnessed).build();
        }
    }
}
