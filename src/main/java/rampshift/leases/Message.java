package rampshift.leases;

import java.util.List;

/** A message between a dispatcher and an acceptor. */
sealed interface Message {
    /**
     * The number of the attempt that a request belongs to, repeated in its reply; 0 if there is none. See
     * also {@link HelloReply}.
     */
    long number();

    /** Returns the message in the common wire layout of all types. */
    WireMessage toWire();

    /** A message that an acceptor handles. */
    sealed interface Request extends Message {}

    /**
     * A request of a proposer. An acceptor processes it only while it votes and only in its own epoch;
     * otherwise it replies with {@link NotVoting}, {@link StaleEpoch} or {@link AcceptorBehind}.
     */
    sealed interface Vote extends Request {
        /** The epoch of the acceptor set of which the proposer needs a quorum. */
        long epoch();

        String register();

        Ballot ballot();
    }

    /** A reply to a {@link Vote} that counts towards its quorum or rejects the attempt. */
    sealed interface VoteReply extends Message {}

    /** Phase 1 request: asks for a promise to accept nothing under a lower ballot. */
    record Prepare(long number, long epoch, String register, Ballot ballot) implements Vote {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.PREPARE, number, epoch).register(register).ballot(ballot)
                    .build();
        }
    }

    /** The promise requested by {@link Prepare}, with the last accepted value and its ballot. */
    record Promise(long number, long epoch, String register, Ballot ballot, Ballot accepted,
            LeaseRecord value) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.PROMISE, number, epoch).register(register).ballot(ballot)
                    .accepted(accepted).value(value).build();
        }
    }

    /** Phase 2 request: asks to accept a value. */
    record Accept(long number, long epoch, String register, Ballot ballot,
            LeaseRecord value) implements Vote {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPT, number, epoch).register(register).ballot(ballot)
                    .value(value).build();
        }
    }

    /**
     * Confirms that the value of {@link Accept} is accepted and the next ballot of the same process is
     * promised.
     */
    record Accepted(long number, long epoch, String register, Ballot ballot) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPTED, number, epoch).register(register).ballot(ballot)
                    .accepted(ballot).build();
        }
    }

    /** Rejects an attempt: a higher ballot, or in phase 1 an equal one, is already promised. */
    record Reject(long number, long epoch, String register, Ballot promised,
            Ballot accepted) implements VoteReply {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.REJECT, number, epoch).register(register).ballot(promised)
                    .accepted(accepted).build();
        }
    }

    /** Reports that the acceptor does not vote, or has no room for another register. */
    record NotVoting(long number, long epoch, String register) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.NOT_VOTING, number, epoch).register(register).build();
        }
    }

    /** Reports that the proposer's epoch has ended, with the acceptor's newer set. */
    record StaleEpoch(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.STALE_EPOCH, number, acceptors).build();
        }
    }

    /** Reports that the proposer's epoch is newer than the acceptor's, to request the newer set. */
    record AcceptorBehind(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.ACCEPTOR_BEHIND, number, acceptors).build();
        }
    }

    /** Requests the accepted values of registers without a promise. */
    record Read(long number, List<String> registers) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.READ, number, 0).names(registers).build();
        }
    }

    /** Values that one acceptor, but not necessarily a quorum, has accepted; in the order of the names. */
    record ReadReply(long number, List<String> registers, List<LeaseRecord> values) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.READ_REPLY, number, 0).names(registers).values(values).build();
        }
    }

    /** Sends an acceptor the set that is in force. */
    record Install(long number, AcceptorSet acceptors) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.INSTALL, number, acceptors).build();
        }
    }

    /** Replies to {@link Install} with the set that the acceptor has on disk. */
    record Installed(long number, AcceptorSet acceptors) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.INSTALLED, number, acceptors).build();
        }
    }

    /** Requests the names of registers that sort after a given name. */
    record ListRegisters(long number, long epoch, String after) implements Request {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.LIST_REGISTERS, number, epoch).register(after).build();
        }
    }

    /** Names of registers in sorted order; empty at the end of the list. */
    record RegisterList(long number, List<String> registers) implements Message {
        @Override
        public WireMessage toWire() {
            return WireMessage.of(MessageType.REGISTER_LIST, number, 0).names(registers).build();
        }
    }

    /**
     * Requests a dispatcher's acceptor set and directory id.
     *
     * @param directoryId id of the sender's directory; 0 if the sender is not an acceptor
     * @param directory version of that directory
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
     * Replies to {@link Hello}.
     *
     * @param number how often the requesting directory has been started
     * @param directoryId id of the replying directory; 0 if the sender is not an acceptor or its directory is
     *         an older copy
     * @param witnessed the version of the requesting directory that the replying acceptor knew before
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
