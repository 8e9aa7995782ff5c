package rampshift.policy;

/** Result of the review of a task in flight. */
enum Review {
    /** Its attempts continue. */
    KEEP,
    /** Another attempt is sent if its value at one of the workers sampled anew is above zero. */
    RETRY,
    /** No useful answer is expected, and it gets its final answer now. */
    GIVE_UP
}
