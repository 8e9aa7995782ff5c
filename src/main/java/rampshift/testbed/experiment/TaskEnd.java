package rampshift.testbed.experiment;

import java.util.Locale;

/** The outcome of a client's attempt, as observed by the client. */
enum TaskEnd {
    /** The client received a successful response. */
    FINISHED,
    /** The client received a rejection. */
    BOUNCED,
    /** The client received a 5xx response other than a rejection. */
    ABANDONED,
    /** The client received a response that forbids retries. */
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
