package rampshift.workers;

import rampshift.policy.AttemptOutcome;

/** A line of a worker's response that makes no sense and ends the attempt. */
final class MalformedProgressException extends Exception {
    private static final long serialVersionUID = 1L;

    private final AttemptOutcome outcome;

    /**
     * Creates an exception without a stack trace, since the worker alone is at fault.
     *
     * @param message what was wrong, as a noun phrase
     * @param outcome the outcome of the attempt
     */
    MalformedProgressException(String message, AttemptOutcome outcome) {
        super(message, null, false, false);
        this.outcome = outcome;
    }

    AttemptOutcome outcome() {
        return outcome;
    }
}
