package rampshift.testbed.experiment;

import java.util.Locale;

/** How an attempt of a client ended, as the client saw it. */
enum TaskEnd {
    /** With a good response. */
    FINISHED,
    /** With a rejection. */
    BOUNCED,
    /** With a 5xx response other than a rejection. */
    ABANDONED,
    /** With a response that forbids retries. */
    TURNED_DOWN,
    /** The connection was lost, or the response was malformed. */
    BROKEN,
    /** No connection came about. */
    UNREACHABLE,
    /** With no response before the client gave up. */
    NO_ANSWER;

    /** Its field in the files of counts. */
    String field() {
        return name().toLowerCase(Locale.ROOT);
    }
}
