package rampshift.policy;

/** Result of the review of a task in flight. */
enum Review {
    /** Its attempts continue. */
    KEEP,
    /** Another attempt is due, if a sampled worker makes it pay. */
    RETRY,
    /** No useful answer is expected, and it gets its final answer now. */
    GIVE_UP
}
