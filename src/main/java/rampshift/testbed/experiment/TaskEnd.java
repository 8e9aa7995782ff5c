package rampshift.testbed.experiment;

import java.util.Locale;

/** How a task ended, as its client saw it. */
enum TaskEnd {
    /** With a good response. */
    FINISHED,
    /** With a rejection. */
    BOUNCED,
    /** The client gave up. */
    ABANDONED,
    /** With a response that forbids retries. */
    TURNED_DOWN,
    /** The connection was lost, or the response was malformed. */
    BROKEN,
    /** No connection came about. */
    UNREACHABLE,
    /** With no response. */
    NO_ANSWER;

    /** Its field in the files of counts. */
    String field() {
        return name().toLowerCase(Locale.ROOT);
    }
}
