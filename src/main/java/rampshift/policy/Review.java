package rampshift.policy;

/** What a look at a task in flight comes to. */
enum Review {
    /** Its attempts go on as they are. */
    KEEP,
    /** Another attempt is due, if a worker is worth it. */
    RETRY,
    /** No answer in time is to be expected: it gets its final answer now. */
    GIVE_UP
}
