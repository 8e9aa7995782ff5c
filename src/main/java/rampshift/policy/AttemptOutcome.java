package rampshift.policy;

/** How an attempt ended. */
public enum AttemptOutcome {
    FINISHED(false), ERRED(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), BROKEN(
            false), CALLED_OFF(false), NOT_SENT(true),
    /** Reset without a message on a connection that had been kept; it tells nothing of the worker. */
    STALE(false);

    /** Whether it proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** The worker may have got it, and it was not cancelled before it ended. */
    boolean reachedWorker() {
        return this != CALLED_OFF && this != NO_CONNECTION && this != NOT_SENT;
    }

    /** The worker sent no answer, and the connection tells so. */
    boolean isConnectionFailure() {
        return this == NO_CONNECTION || this == BROKEN || this == TIMED_OUT;
    }

    /** The worker sent an answer, of whatever kind. */
    boolean isAnswer() {
        return this == FINISHED || this == ERRED || this == FULL;
    }
}
