package rampshift.testbed.experiment;

import java.util.Locale;

/** An action of a run on a dispatcher's process, as recorded in the event log of the run. */
enum DispatcherEvent {
    /** The process was killed. */
    KILLED,
    /** The process was asked to shut down gracefully. */
    ENDED,
    /** A new process was started. */
    STARTED,
    /** The process was suspended. */
    STOPPED,
    /** The process was resumed after a suspension. */
    CONTINUED,
    /** The process was throttled to a share of a core. */
    STARVED,
    /** The throttling of the process ended. */
    FED;

    /** Returns the name of the event in event logs. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
