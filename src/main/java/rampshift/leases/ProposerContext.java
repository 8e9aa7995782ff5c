package rampshift.leases;

/** What proposers need from their dispatcher. */
interface ProposerContext extends Proposer.Transport {
    /** Returns the newest acceptor set that this process knows. */
    AcceptorSet acceptors();

    /** Returns a number that this process has not used before. */
    long nextNumber();

    /** Returns the next random draw, from 0 inclusive to 1 exclusive. */
    double nextRandom();
}
