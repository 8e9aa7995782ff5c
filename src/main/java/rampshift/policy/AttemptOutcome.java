package rampshift.policy;

/** How an assignment ended. */
public enum AttemptOutcome {
    FINISHED(false), ERRED(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), BROKEN(
            false), CALLED_OFF(false), NOT_SENT(true),
    /** Reset without a word on a connection that had been kept; it tells nothing of the worker. */
    STALE(false);

    /** Whether it proves that the assignment never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
