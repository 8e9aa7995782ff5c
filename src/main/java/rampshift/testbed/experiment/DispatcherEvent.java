package rampshift.testbed.experiment;

import java.util.Locale;

/** What a run does to a dispatcher's process, as its event log tells it. */
enum DispatcherEvent {
    /** Killed. */
    KILLED,
    /** Asked to end in order. */
    ENDED,
    /** Started again. */
    STARTED,
    /** Suspended. */
    STOPPED,
    /** Resumed after it was suspended. */
    CONTINUED,
    /** Throttled to a share of a core. */
    STARVED,
    /** No longer throttled. */
    FED;

    /** The word for it in event logs. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
