package rampshift.leases;

/**
 * What a keeper remembers of one register: no ballot under the promised one is taken; what it took last, and
 * with which.
 */
record AcceptorState(Ballot promised, Ballot accepted, LeaseRecord value) {
    static final AcceptorState EMPTY = new AcceptorState(Ballot.NONE, Ballot.NONE, LeaseRecord.FREE);
}
