package rampshift.leases;

import java.util.Set;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * The proposer of one change of a register, by CASPaxos: a quorum promises a ballot, the change is applied to
 * the value accepted under the highest ballot, and a quorum accepts the result. Any message may be lost; then
 * the change is attempted again under a higher ballot.
 */
final class Proposer {
    /** The state of the change. */
    enum State {
        /** Not decided yet. */
        PENDING,
        /** A quorum has accepted the result. */
        CHOSEN,
        /** The change does not apply to the current value. */
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
     * A proposer that has not sent anything.
     *
     * @param processId this process
     * @param highestRound the highest round of a ballot that this process knows of for the register
     */
    Proposer(String register, ChangeFunction change, long processId, long highestRound) {
        this.register = register;
        this.change = change;
        this.processId = processId;
        this.highestRound = highestRound;
    }

    /**
     * Begins an attempt with both phases. The attempt number must never have been used before by this
     * process.
     */
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
     * Begins an attempt at phase 2, with what a quorum promised when it accepted the last value: the current
     * value is known. If another process has come between, acceptors reject this, and the next attempt takes
     * both phases.
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
     * What a chosen change leaves for the next one of the same process.
     *
     * @param ballot the ballot that a quorum promised along with accepting the value
     * @param value that value
     * @param epoch the epoch of the acceptor set that promised
     */
    record Prepared(Ballot ballot, LeaseRecord value, long epoch) {}

    /** To be asked for once the change is chosen. */
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
     * Chosen: the result. Inapplicable: the value to which the change does not apply, which a quorum may not
     * have.
     */
    LeaseRecord value() {
        return value;
    }

    long highestRound() {
        return highestRound;
    }

    /** Whether this attempt was ended by a higher ballot, not by its deadline. */
    boolean isRejected() {
        return rejected;
    }

    /** Rejections of all attempts. The first one only tells how high the ballots are by now. */
    int rejections() {
        return rejections;
    }

    /** Puts off the next attempt after a rejection. */
    void waitUntil(Moment time) {
        deadline = time;
    }

    /** When this attempt is given up. */
    Moment deadline() {
        return deadline;
    }

    /** Takes an acceptor's reply. Returns whether the change is decided or the attempt is over by it. */
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
        // Attempt numbers begin anew with each process, ballots never do.
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

    /** Phase 2. Returns whether the change is decided: it does not apply. */
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
