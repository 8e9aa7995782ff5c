package rampshift.leases;

import java.util.Set;
import java.util.TreeSet;
import rampshift.time.Moment;

/**
 * One change of a register, by CASPaxos: a majority promises, the value that was taken with the highest
 * ballot is
 * changed as is intended, a majority takes the outcome. Any part may be lost; then it begins again with a
 * higher ballot.
 */
final class RegisterChange {
    /** How it stands. */
    enum State { ASKING, DONE, REFUSED }

    private final String register;
    private final RegisterUpdate intent;
    private final long life;
    private final Set<String> answered = new TreeSet<>();
    private State state = State.ASKING;
    private AcceptorSet keepers;
    private long number;
    private Ballot ballot;
    private boolean taking;
    private boolean refused;
    private int refusals;
    private Ballot best;
    private LeaseRecord value;
    private long highest;
    private Moment until;

    /** Sends to a keeper. */
    interface Out {
        void send(String keeper, Message message);
    }

    /** Highest: the highest round that is known of. */
    RegisterChange(String register, RegisterUpdate intent, long life, long highest) {
        this.register = register;
        this.intent = intent;
        this.life = life;
        this.highest = highest;
    }

    /** Begins, or begins again. Number: never used before by this process. */
    void attempt(AcceptorSet by, long attempt, Moment giveUpAt, Out out) {
        keepers = by;
        number = attempt;
        ballot = new Ballot(highest + 1, life);
        highest = ballot.round();
        taking = false;
        refused = false;
        best = Ballot.NONE;
        value = LeaseRecord.FREE;
        answered.clear();
        until = giveUpAt;
        by.names().forEach(k -> out.send(k, Message.prepare(number, keepers.epoch(), register, ballot)));
    }

    /**
     * Begins with what a majority promised when it accepted the last value: what stands is known, and no
     * round is needed
     * to ask for it. If another has come between, keepers refuse it, and it begins again from the start.
     */
    void quick(AcceptorSet by, long attempt, Ballot promised, LeaseRecord stands, Moment giveUpAt, Out out) {
        keepers = by;
        number = attempt;
        ballot = promised;
        highest = Math.max(highest, promised.round());
        value = stands;
        refused = false;
        until = giveUpAt;
        take(out);
    }

    /** That a majority promised with the value, when it accepted it; by which keepers. */
    Ballot promised() {
        return ballot.next();
    }

    long epoch() {
        return keepers.epoch();
    }

    RegisterUpdate intent() {
        return intent;
    }

    State state() {
        return state;
    }

    /**
     * DONE: the value as a majority has it. REFUSED: the one that stood in the way, which may not be a
     * majority's.
     */
    LeaseRecord value() {
        return value;
    }

    long highest() {
        return highest;
    }

    /** This attempt came to its end by a higher ballot, not by waiting. */
    boolean refused() {
        return refused;
    }

    /** Of all its attempts: the first only tells how high ballots are by now. */
    int refusals() {
        return refusals;
    }

    /** After a refusal: the next attempt waits so long. */
    void waitUntil(Moment when) {
        until = when;
    }

    /** When this attempt is given up. */
    Moment until() {
        return until;
    }

    /** An answer. True where it has come to an end, or this attempt has. */
    boolean answer(Moment now, String from, Message m, Out out) {
        if (m.number() != number || state != State.ASKING) {
            return false;
        }
        switch (m.kind()) {
            case PROMISED -> {
                // numbers begin anew with each process, ballots never
                if (taking || !m.ballot().equals(ballot)) {
                    return false;
                }
                if (m.accepted().compareTo(best) > 0) {
                    best = m.accepted();
                    value = m.value();
                }
                answered.add(from);
                if (keepers.agreed(answered)) {
                    return take(out);
                }
            }
            case ACCEPTED -> {
                if (!taking || !m.ballot().equals(ballot)) {
                    return false;
                }
                answered.add(from);
                if (keepers.agreed(answered)) {
                    state = State.DONE;
                    return true;
                }
            }
            case REFUSED -> {
                highest = Math.max(highest, m.ballot().round());
                until = now;
                refused = true;
                refusals++;
                return true;
            }
            default -> {
            }
        }
        return false;
    }

    private boolean take(Out out) {
        LeaseRecord next = intent.on(value);
        if (next == null) {
            state = State.REFUSED;
            return true;
        }
        value = next;
        taking = true;
        answered.clear();
        keepers.names()
                .forEach(k -> out.send(k, Message.accept(number, keepers.epoch(), register, ballot, next)));
        return false;
    }
}
