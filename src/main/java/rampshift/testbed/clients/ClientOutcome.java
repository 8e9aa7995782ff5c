package rampshift.testbed.clients;

/** How an attempt ended, as its client saw it. The order is that of the statistics file. */
enum ClientOutcome {
    /** Response 200. */
    FINISHED("finished"),
    /** Response 429 or 503: the task has not run. */
    REJECTED("bounced"),
    /** Any other response from 500: the task may have run. */
    SERVER_ERROR("abandoned"),
    /** Any other response. */
    OTHER_RESPONSE("turned_down"),
    /** The connection was lost before the response was complete, or the response was invalid. */
    CONNECTION_LOST("broken"),
    /** No connection could be opened. */
    UNREACHABLE("unreachable"),
    /** The client's timeout passed first. */
    TIMED_OUT("no_answer");

    private final String fieldName;

    ClientOutcome(String fieldName) {
        this.fieldName = fieldName;
    }

    /** Its name in the statistics file. */
    String fieldName() {
        return fieldName;
    }
}
