package rampshift.leases;

/** What makes changes of registers needs of the dispatcher. */
interface ProposerContext extends Proposer.Transport {
    /** The acceptor set that is in force, as far as is known here. */
    AcceptorSet acceptors();

    /** A number never used before by this process. */
    long nextNumber();

    /** The next random draw, from 0 to under 1. */
    double nextRandom();
}
