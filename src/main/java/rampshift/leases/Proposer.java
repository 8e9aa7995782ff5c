package rampshift.leases;

import java.util.Set;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * The CASPaxos proposer of one change of a register: a quorum promises a ballot, the change is applied to the
 * value accepted under the highest ballot, and a quorum accepts the result. If messages are lost, the owner
 * attempts the change again under a higher ballot.
 */
final class Proposer {
    /** The state of the change. */
    enum State {
        /** The change is not decided yet. */
        PENDING,
        /** A quorum has accepted the result. */
        CHOSEN,
        /** The change does not apply to the value that was found. */
        INAPPLICABLE
    }

    /** Sends messages to acceptors. */
    interface Transport {
        void send(String acceptor, Message message);
    }

    private final String register;
    private final ChangeFunction change;
    private final long processId;
    private final Set<String> replied = new TreeSet<>();
    private State state = State.PENDING;
    private AcceptorSet acceptors;
    private long attempt;
    private Ballot ballot;
    private boolean accepting;
    private boolean rejected;
    private int rejections;
    private Ballot highestAccepted;
    private LeaseRecord value;
    private long highestRound;
    private Moment deadline;

    /**
     * Creates a proposer that has not sent anything.
     *
     * @param processId id of this process
     * @param highestRound the highest round of a ballot that this process knows of for the register
     */
    Proposer(String register, ChangeFunction change, long processId, long highestRound) {
        this.register = register;
        this.change = change;
        this.processId = processId;
        this.highestRound = highestRound;
    }

    /** Begins an attempt with both phases. This process must not have used the attempt number before. */
    void attempt(AcceptorSet set, long attemptNumber, Moment attemptDeadline, Transport transport) {
        acceptors = set;
        attempt = attemptNumber;
        ballot = new Ballot(highestRound + 1, processId);
        highestRound = ballot.round();
        accepting = false;
        rejected = false;
        highestAccepted = Ballot.NONE;
        value = LeaseRecord.INITIAL;
        replied.clear();
        deadline = attemptDeadline;
        Message prepare = new Message.Prepare(attempt, acceptors.epoch(), register, ballot);
        acceptors.names().forEach(acceptor -> transport.send(acceptor, prepare));
    }

    /**
     * Begins an attempt at phase 2 with the ballot that a quorum promised when it accepted the last value,
     * which is therefore the current one. If another process has proposed since, acceptors reject this
     * attempt, and the next one takes both phases.
     */
    void attemptPrepared(AcceptorSet set, long attemptNumber, Prepared prepared, Moment attemptDeadline,
            Transport transport) {
        acceptors = set;
        attempt = attemptNumber;
        ballot = prepared.ballot();
        highestRound = Math.max(highestRound, ballot.round());
        value = prepared.value();
        rejected = false;
        deadline = attemptDeadline;
        propose(transport);
    }

    /**
     * What the next change of the same process needs to skip phase 1.
     *
     * @param ballot the ballot that a quorum promised when it accepted the value
     * @param value the accepted value
     * @param epoch the epoch of the acceptor set that promised
     */
    record Prepared(Ballot ballot, LeaseRecord value, long epoch) {}

    /** Returns what the next change needs to skip phase 1; valid once this change is chosen. */
    Prepared prepared() {
        return new Prepared(ballot.next(), value, acceptors.epoch());
    }

    ChangeFunction change() {
        return change;
    }

    State state() {
        return state;
    }

    /**
     * Returns the result of a chosen change. For an inapplicable change, returns the value to which it does
     * not apply, which a quorum may not have accepted.
     */
    LeaseRecord value() {
        return value;
    }

    long highestRound() {
        return highestRound;
    }

    /** Returns whether a higher ballot, not the deadline, ended this attempt. */
    boolean isRejected() {
        return rejected;
    }

    /** Returns how many attempts were rejected. The first rejection may only mean an outdated ballot. */
    int rejections() {
        return rejections;
    }

    /** Delays the next attempt after a rejection. */
    void waitUntil(Moment time) {
        deadline = time;
    }

    /** Returns when this attempt times out. */
    Moment deadline() {
        return deadline;
    }

    /** Handles an acceptor's reply. Returns whether it decided the change or ended the attempt. */
    boolean onReply(Moment now, String from, Message.VoteReply reply, Transport transport) {
        if (reply.number() != attempt || state != State.PENDING) {
            return false;
        }
        if (reply instanceof Message.Promise promise) {
            return onPromise(from, promise, transport);
        }
        if (reply instanceof Message.Accepted accepted) {
            return onAccepted(from, accepted);
        }
        if (reply instanceof Message.Reject reject) {
            highestRound = Math.max(highestRound, reject.promised().round());
            deadline = now;
            rejected = true;
            rejections++;
            return true;
        }
        return false;
    }

    private boolean onPromise(String from, Message.Promise promise, Transport transport) {
        // Attempt numbers restart with each process, so that a reply to an earlier process may carry the
        // number of this attempt; its ballot differs.
        if (accepting || !promise.ballot().equals(ballot)) {
            return false;
        }
        if (promise.accepted().compareTo(highestAccepted) > 0) {
            highestAccepted = promise.accepted();
            value = promise.value();
        }
        replied.add(from);
        return acceptors.hasQuorum(replied) && propose(transport);
    }

    private boolean onAccepted(String from, Message.Accepted accepted) {
        if (!accepting || !accepted.ballot().equals(ballot)) {
            return false;
        }
        replied.add(from);
        if (!acceptors.hasQuorum(replied)) {
            return false;
        }
        state = State.CHOSEN;
        return true;
    }

    /** Begins phase 2. Returns whether the change is decided because it does not apply to the value. */
    private boolean propose(Transport transport) {
        LeaseRecord next = change.applyTo(value);
        if (next == null) {
            state = State.INAPPLICABLE;
            return true;
        }
        value = next;
        accepting = true;
        replied.clear();
        Message accept = new Message.Accept(attempt, acceptors.epoch(), register, ballot, next);
        acceptors.names().forEach(acceptor -> transport.send(acceptor, accept));
        return false;
    }
}
