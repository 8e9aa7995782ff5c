package rampshift.clients;

/**
 * Thrown for a request that is rejected, with the status and the text of the response. Carries no stack
 * trace.
 */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * Creates the exception.
     *
     * @param status the HTTP status of the response
     * @param reason the text of the response and of the log line
     */
    public InvalidRequestException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }
}
