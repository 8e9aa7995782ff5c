package rampshift.testbed.clients;

/** The reason why an exchange on a connection ended without a complete response. */
enum ConnectionFailure {
    /** The dispatcher reset the connection. */
    RESET("reset"),
    /** The dispatcher closed the connection without a reset. */
    CLOSED("closed"),
    /** The bytes that arrived are not a valid response. */
    INVALID_RESPONSE("odd"),
    /** No connection could be opened to send the request again. */
    UNREACHABLE("unreachable");

    private final String logField;

    ConnectionFailure(String logField) {
        this.logField = logField;
    }

    /** Returns the name in the event log. */
    String logField() {
        return logField;
    }
}
