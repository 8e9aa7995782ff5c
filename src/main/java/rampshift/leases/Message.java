package rampshift.leases;

import java.util.List;

/**
 * Between a keeper and whoever asks it.
 *
 * @param number of the attempt, given back by the answer
 * @param epoch of the keepers by which it is meant
 * @param register its name, where it is of one
 * @param ballot of the attempt; in a refusal, what is promised
 * @param accepted with which ballot the value was taken
 * @param names of LOOK: the registers; of LISTED: those that there are
 * @param values of SEEN: beside the names
 * @param text the keepers, where they are told
 * @param id of the sender's directory; 0 where it keeps nothing
 * @param boot how often it was started; in HELLO_BACK, what is known of the asker's
 * @param position how many records its directory has held; in HELLO_BACK, what is known of the asker's
 */
record Message(Kind kind, long number, long epoch, String register, Ballot ballot, Ballot accepted,
        LeaseRecord value,
        List<String> names, List<LeaseRecord> values, String text, long id, long boot, long position) {
    enum Kind {
        PREPARE, PROMISED, ACCEPT, ACCEPTED, REFUSED, STALE, BEHIND, SILENT, LOOK, SEEN, ADOPT, ADOPTED, LIST, LISTED, HELLO, HELLO_BACK
    }

    private static Message of(Kind kind, long number, long epoch, String register, Ballot ballot,
            Ballot accepted, LeaseRecord value) {
        return new Message(kind, number, epoch, register, ballot, accepted, value, List.of(), List.of(), "",
                0, 0, 0);
    }

    static Message prepare(long number, long epoch, String register, Ballot ballot) {
        return of(Kind.PREPARE, number, epoch, register, ballot, Ballot.NONE, LeaseRecord.FREE);
    }

    static Message accept(long number, long epoch, String register, Ballot ballot, LeaseRecord value) {
        return of(Kind.ACCEPT, number, epoch, register, ballot, Ballot.NONE, value);
    }

    static Message answer(Kind kind, Message to, Ballot ballot, Ballot accepted, LeaseRecord value) {
        return of(kind, to.number, to.epoch, to.register, ballot, accepted, value);
    }

    /** Of the keepers: STALE, BEHIND, ADOPT, ADOPTED. */
    static Message keepers(Kind kind, long number, AcceptorSet keepers) {
        return new Message(kind, number, keepers.epoch(), "", Ballot.NONE, Ballot.NONE, LeaseRecord.FREE,
                List.of(),
                List.of(),
                keepers.known() ? keepers.text() : "", 0, 0, 0);
    }

    static Message names(Kind kind, long number, List<String> names, List<LeaseRecord> values) {
        return new Message(kind, number, 0, "", Ballot.NONE, Ballot.NONE, LeaseRecord.FREE, names, values, "",
                0, 0,
                0);
    }

    static Message hello(Kind kind, long number, AcceptorSet keepers, long id, long boot, long position) {
        return new Message(kind, number, keepers.epoch(), "", Ballot.NONE, Ballot.NONE, LeaseRecord.FREE,
                List.of(),
                List.of(),
                keepers.known() ? keepers.text() : "", id, boot, position);
    }
}
