package rampshift.leases;

/**
 * The ballot number of one attempt to change a register.
 *
 * @param round compared first; rises with each attempt
 * @param processId the proposing process; orders ballots of equal rounds
 */
record Ballot(long round, long processId) implements Comparable<Ballot> {
    static final Ballot NONE = new Ballot(0, 0);

    /** Returns the next ballot of the same process, which an acceptor promises when it accepts this one. */
    Ballot next() {
        return new Ballot(round + 1, processId);
    }

    @Override
    public int compareTo(Ballot other) {
        return round != other.round ? Long.compare(round, other.round)
                : Long.compare(processId, other.processId);
    }
}
