package rampshift.membership.host;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;

/** Writes the events of a member to the event log, if the operator's file names one. */
final class MembershipEventLog implements Closeable {
    private static final String RECORD_TYPE = "members";

    private final EventLog log; // null if there is none
    private final String dispatcher;

    /**
     * Opens the file unless it is null.
     *
     * @throws IOException if the file can't be opened
     */
    MembershipEventLog(Path file, String dispatcher) throws IOException {
        this.dispatcher = dispatcher;
        log = file == null ? null : new EventLog(file, true);
    }

    /** Writes one event about the given subject, a member or a worker. */
    void write(String event, String subject, long number, String detail) {
        if (log != null) {
            log.append(EventClock.now(), RECORD_TYPE, dispatcher, event, subject, number,
                    detail.replace(' ', '-'));
        }
    }

    @Override
    public void close() throws IOException {
        if (log != null) {
            log.close();
        }
    }
}
