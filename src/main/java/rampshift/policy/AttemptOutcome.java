package rampshift.policy;

/**
 * How an attempt ended: with a result, an error or a rejection as full from the worker; by a timeout; by a
 * connection that could not be opened or broke; cancelled; or not sent by this dispatcher.
 */
public enum AttemptOutcome {
    FINISHED(false), ERRED(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), BROKEN(
            false), CALLED_OFF(false), NOT_SENT(true),
    /** A reused connection was reset without a message, which says nothing about the worker. */
    STALE(false);

    /** Whether the outcome proves that the attempt never ran. */
    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether the worker may have received the attempt, and it was not cancelled. */
    boolean reachedWorker() {
        return this != CALLED_OFF && this != NO_CONNECTION && this != NOT_SENT;
    }

    /** Returns whether the connection failed or timed out without an answer from the worker. */
    boolean isConnectionFailure() {
        return this == NO_CONNECTION || this == BROKEN || this == TIMED_OUT;
    }

    /** Returns whether the worker sent an answer of any kind. */
    boolean isAnswer() {
        return this == FINISHED || this == ERRED || this == FULL;
    }
}
