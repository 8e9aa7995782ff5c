package rampshift.testbed.clients;

/** Why an exchange on a connection ended without a complete response. */
enum ConnectionFailure {
    /** The dispatcher reset the connection. */
    RESET("reset"),
    /** The dispatcher closed the connection in order. */
    CLOSED("closed"),
    /** The bytes that arrived are no valid response. */
    INVALID_RESPONSE("odd"),
    /** No connection could be opened for sending the request again. */
    UNREACHABLE("unreachable");

    private final String logField;

    ConnectionFailure(String logField) {
        this.logField = logField;
    }

    /** Its name in the event log. */
    String logField() {
        return logField;
    }
}
