package rampshift.workers;

import rampshift.policy.AttemptOutcome;

/** Thrown for a line of a worker's response that is invalid and ends the attempt. */
final class MalformedProgressException extends Exception {
    private static final long serialVersionUID = 1L;

    private final AttemptOutcome outcome;

    /**
     * Creates an exception without a stack trace, since the fault is in the input from the worker.
     *
     * @param message the fault, as a noun phrase
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
