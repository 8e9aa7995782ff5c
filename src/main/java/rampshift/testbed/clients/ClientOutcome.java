package rampshift.testbed.clients;

/** The outcome of an attempt at its client. The order is that of the statistics file. */
enum ClientOutcome {
    /** A response with status 200. */
    FINISHED("finished"),
    /** A response with status 429 or 503: the task has not run. */
    REJECTED("bounced"),
    /** Any other response with a status of 500 or more: the task may have run. */
    SERVER_ERROR("abandoned"),
    /** Any other response. */
    OTHER_RESPONSE("turned_down"),
    /** The connection was lost before the response was complete, or the response was invalid. */
    CONNECTION_LOST("broken"),
    /** No connection could be opened. */
    UNREACHABLE("unreachable"),
    /** The client's timeout expired before a response. */
    TIMED_OUT("no_answer");

    private final String fieldName;

    ClientOutcome(String fieldName) {
        this.fieldName = fieldName;
    }

    /** Returns the name in the statistics file. */
    String fieldName() {
        return fieldName;
    }
}
