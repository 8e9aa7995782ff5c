package rampshift.connections;

/** Thrown for a response that is not valid HTTP/1.1, or that exceeds a limit of {@link ResponseReader}. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception without a stack trace, since the fault is in the input from the peer.
     *
     * @param message the fault, as a noun phrase
     */
    MalformedResponseException(String message) {
        super(message, null, false, false);
    }
}
