package rampshift.leases;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A CASPaxos acceptor. It confirms promises, accepted values and installed acceptor sets only once they are
 * on disk. It does not vote while its directory is new, is older than the version that other acceptors have
 * witnessed, or is not the directory named by the acceptor set.
 */
final class Acceptor {
    /** Stores and sends what the acceptor requests. */
    interface Output {
        /** Writes a record, which replaces an earlier record of the same key. */
        void persist(String key, byte[] value);

        /** Sends a message once all records written so far are on disk. */
        void sendAfterSync(String to, Message message);

        /** Sends a message immediately. */
        void send(String to, Message message);

        /** Reports an event; see {@link LeaseEvent#detail}. */
        void emit(EventType type, String detail);
    }

    /** Whether the acceptor votes, or why it does not. The event log contains the names of these states. */
    enum State {
        /** No acceptor set is known yet. */
        NEW,
        /** The acceptor asks the others which version of its directory they have witnessed. */
        ASKING,
        /** The acceptor votes. */
        VOTING,
        /** The acceptor set names another directory for this dispatcher. */
        LOST,
        /** The directory is an older copy. */
        OLD,
        /** The acceptor is not a member of the acceptor set. */
        OUT
    }

    private static final String ACCEPTORS_KEY = "keepers";
    private static final String IDENTITY_KEY = "self";

    private final String name;
    private final List<String> initialNames;
    private final Span helloInterval;
    private final Output out;
    private final RegisterTable registers;
    private final DirectoryWitness witness;
    /** Directory ids of the other initial members that do not know an acceptor set yet. */
    private final Map<String, Long> newDirectories = new TreeMap<>();
    /** Members that have replied in the current step of the start. */
    private final Set<String> replied = new TreeSet<>();
    private AcceptorSet acceptors = AcceptorSet.UNKNOWN;
    private State state = State.NEW;
    private long directoryId;
    private long startCount;
    private long startCountOnDisk;
    private long recordCountOnDisk;
    private boolean announcingStart;
    private Moment nextHelloAt;

    /**
     * Creates an acceptor that has not started.
     *
     * @param name name of its dispatcher
     * @param initialNames the members of the first acceptor set
     * @param helloInterval time between two {@link Message.Hello} messages to each other acceptor
     */
    Acceptor(String name, List<String> initialNames, Span helloInterval, Output out) {
        this.name = name;
        this.initialNames = initialNames;
        this.helloInterval = helloInterval;
        this.out = out;
        registers = new RegisterTable(out);
        witness = new DirectoryWitness(out);
    }

    /** Starts with the records of its directory. An empty directory gets the new id. */
    void start(Moment now, Map<String, byte[]> records, long recordCount, long newDirectoryId) {
        recordCountOnDisk = recordCount;
        nextHelloAt = now;
        byte[] identity = records.get(IDENTITY_KEY);
        if (identity == null) {
            directoryId = newDirectoryId;
            out.persist(IDENTITY_KEY, Codec.encode(directoryId, 0));
        } else {
            ByteBuffer buffer = ByteBuffer.wrap(identity);
            directoryId = buffer.getLong();
            startCountOnDisk = buffer.getLong();
        }
        startCount = startCountOnDisk;
        records.forEach(registers::load);
        records.forEach(witness::load);
        byte[] storedSet = records.get(ACCEPTORS_KEY);
        if (storedSet != null) {
            acceptors = AcceptorSet.parse(new String(storedSet, StandardCharsets.US_ASCII));
            if (acceptors == null) {
                throw new IllegalStateException(
                        "the stored acceptor (keeper) set of " + name + " is malformed");
            }
        }
        if (acceptors.isKnown()) {
            enter(acceptors.contains(name, directoryId) ? State.ASKING : State.OUT);
        }
    }

    State state() {
        return state;
    }

    AcceptorSet acceptors() {
        return acceptors;
    }

    /** Records how many records have been written to the directory so far; all of them are on disk. */
    void onSynced(long recordCount) {
        recordCountOnDisk = recordCount;
    }

    /** Returns when {@link #onTimer} is to be called. */
    Moment dueAt() {
        return nextHelloAt;
    }

    /** Sends {@link Message.Hello} to the other acceptors if it is due. */
    void onTimer(Moment now) {
        if (now.before(nextHelloAt)) {
            return;
        }
        nextHelloAt = now.plus(helloInterval);
        Message hello =
                new Message.Hello(0, acceptors, directoryId,
                        new DirectoryVersion(startCount, recordCountOnDisk));
        for (String other : acceptors.isKnown() ? acceptors.names() : new TreeSet<>(initialNames)) {
            if (!other.equals(name)) {
                out.send(other, hello);
            }
        }
        advanceStart();
    }

    private void enter(State next) {
        if (state != next) {
            state = next;
            out.emit(EventType.ACCEPTOR_STATE, next.name());
        }
    }

    /** Advances the start by one step, or by several if this acceptor forms a quorum by itself. */
    private void advanceStart() {
        boolean isFirstMember = !initialNames.isEmpty() && initialNames.get(0).equals(name);
        if (state == State.NEW && !acceptors.isKnown() && isFirstMember) {
            formFirstSet();
        }
        while (state == State.ASKING && hasQuorumWithItself()) {
            replied.clear();
            if (announcingStart) {
                enter(State.VOTING);
            } else {
                // A quorum witnesses this start before the acceptor votes, so that an older copy of the
                // directory is recognised.
                announcingStart = true;
                startCount = startCountOnDisk + 1;
                out.persist(IDENTITY_KEY, Codec.encode(directoryId, startCount));
                nextHelloAt = new Moment(0);
            }
        }
    }

    private boolean hasQuorumWithItself() {
        Set<String> members = new TreeSet<>(replied);
        members.add(name);
        return acceptors.hasQuorum(members);
    }

    /** Forms the first acceptor set once all initial members have reported new directories. */
    private void formFirstSet() {
        List<AcceptorSet.Member> members = new ArrayList<>();
        for (String member : initialNames) {
            Long memberId = member.equals(name) ? Long.valueOf(directoryId) : newDirectories.get(member);
            if (memberId == null) {
                return;
            }
            members.add(new AcceptorSet.Member(member, memberId));
        }
        install(new AcceptorSet(1, members, List.of()));
    }

    private void install(AcceptorSet newer) {
        acceptors = newer;
        out.persist(ACCEPTORS_KEY, newer.encode().getBytes(StandardCharsets.US_ASCII));
        out.emit(EventType.ACCEPTOR_SET, newer.encode());
        if (!newer.contains(name, directoryId)) {
            enter(newer.names().contains(name) ? State.LOST : State.OUT);
        } else if (state == State.NEW || state == State.LOST || state == State.OUT) {
            replied.clear();
            announcingStart = false;
            enter(State.ASKING);
            advanceStart();
        }
    }

    private void installIfNewer(AcceptorSet other) {
        if (other.epoch() > acceptors.epoch()) {
            install(other);
        }
    }

    /** Handles a request from any dispatcher, including this one. */
    void onRequest(String from, Message.Request request) {
        if (request instanceof Message.Vote vote) {
            onVote(from, vote);
        } else if (request instanceof Message.Read read) {
            if (state == State.VOTING) {
                registers.read(from, read);
            }
        } else if (request instanceof Message.ListRegisters list) {
            if (state == State.VOTING && list.epoch() == acceptors.epoch()) {
                registers.list(from, list);
            }
        } else if (request instanceof Message.Install install) {
            onInstall(from, install);
        } else if (request instanceof Message.Hello hello) {
            onHello(from, hello);
        }
    }

    private void onVote(String from, Message.Vote vote) {
        boolean isVoting = state == State.VOTING;
        if (isVoting && vote.epoch() < acceptors.epoch()) {
            out.send(from, new Message.StaleEpoch(vote.number(), acceptors));
        } else if (isVoting && vote.epoch() > acceptors.epoch()) {
            out.send(from, new Message.AcceptorBehind(vote.number(), acceptors));
        } else if (!isVoting || !registers.hasCapacityFor(vote.register())) {
            out.send(from, new Message.NotVoting(vote.number(), vote.epoch(), vote.register()));
        } else if (vote instanceof Message.Prepare prepare) {
            registers.prepare(from, prepare);
        } else if (vote instanceof Message.Accept accept) {
            registers.accept(from, accept);
        }
    }

    private void onInstall(String from, Message.Install request) {
        installIfNewer(request.acceptors());
        if (acceptors.isKnown()) {
            out.sendAfterSync(from, new Message.Installed(request.number(), acceptors));
        }
    }

    private void onHello(String from, Message.Hello hello) {
        DirectoryVersion known = witness.witness(hello.directoryId(), hello.directory());
        long ownId = state == State.OLD ? 0 : directoryId;
        out.sendAfterSync(from,
                new Message.HelloReply(hello.directory().startCount(), acceptors, ownId, known));
    }

    /** Handles the reply to a {@link Message.Hello}. */
    void onHelloReply(String from, Message.HelloReply reply) {
        installIfNewer(reply.acceptors());
        if (!reply.acceptors().isKnown() && initialNames.contains(from) && reply.directoryId() != 0) {
            newDirectories.put(from, reply.directoryId());
        } else {
            newDirectories.remove(from);
        }
        if (state == State.ASKING && reply.number() == startCount) {
            DirectoryVersion own = new DirectoryVersion(startCount, recordCountOnDisk);
            if (reply.witnessed().isNewerThan(own) && !announcingStart) {
                enter(State.OLD);
            } else if (acceptors.contains(from, reply.directoryId())) {
                // A dispatcher without a directory, or with another one than the set names, is not a witness.
                replied.add(from);
            }
        }
        advanceStart();
    }
}
