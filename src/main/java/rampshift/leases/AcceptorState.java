package rampshift.leases;

/**
 * What an acceptor stores for one register.
 *
 * @param promised the lowest ballot that the acceptor still accepts
 * @param accepted the ballot under which {@code value} was accepted
 * @param value the last accepted value
 */
record AcceptorState(Ballot promised, Ballot accepted, LeaseRecord value) {
    static final AcceptorState EMPTY = new AcceptorState(Ballot.NONE, Ballot.NONE, LeaseRecord.INITIAL);
}
