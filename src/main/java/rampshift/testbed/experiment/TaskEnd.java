package rampshift.testbed.experiment;

import java.util.Locale;

/** The outcome of a client's attempt, as observed by the client. */
enum TaskEnd {
    /** The client received a response with status 200. */
    FINISHED,
    /** The client received a rejection, with status 429 or 503. */
    BOUNCED,
    /** The client received a 5xx response other than a rejection. */
    ABANDONED,
    /** The client received any other response. */
    TURNED_DOWN,
    /** The connection was lost, or the response was malformed. */
    BROKEN,
    /** No connection could be opened. */
    UNREACHABLE,
    /** The client received no response before its timeout. */
    NO_ANSWER;

    /** Returns the name of the field in counts files. */
    String field() {
        return name().toLowerCase(Locale.ROOT);
    }
}
