package rampshift.testbed.clients;

import java.util.Locale;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.wire.Message;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Writes the events of clients for the rule checker, which compares them with those of the workers. The
 * checker depends on the event names and the order of fields.
 */
final class ClientEventLog {
    private static final String NO_RESULT = "-";

    private final EventLog log;
    private final int process;

    /**
     * Creates the log of one load process.
     *
     * @param log receives the events; not closed by this class
     * @param process the number of the process, from 0
     */
    ClientEventLog(EventLog log, int process) {
        this.log = log;
        this.process = process;
    }

    /** Records that the request of an attempt is about to be sent for the first time. */
    void onSent(Moment now, ClientTaskRequest request, Dispatcher dispatcher) {
        ClientTask task = request.task();
        String taskId = process + "." + task.number();
        String effect = task.type().effect().name().toLowerCase(Locale.ROOT);
        Span timeout = request.timeout();
        log.append(now, "sent", request.attemptId(), taskId, task.type().name(), effect, dispatcher.number(),
                timeout.micros(), request.attemptNumber());
    }

    /** Records a response, which may be late. */
    void onResponse(Moment now, String attemptId, Message response) {
        String result = AttemptResult.isFinished(response) ? response.text() : NO_RESULT;
        log.append(now, "answer", attemptId, response.status(), result);
    }

    /** Records that the wait for a response, including a late one, has ended without a response. */
    void onTimeout(String attemptId) {
        log.append(EventClock.now(), "none", attemptId);
    }

    /** Records that no connection could be opened; nothing was sent. */
    void onUnreachable(String attemptId, Dispatcher dispatcher) {
        log.append(EventClock.now(), "unreachable", attemptId, dispatcher.number());
    }

    /** Records a lost connection or an invalid response; the task may have run. */
    void onConnectionLost(Moment now, String attemptId, ConnectionFailure failure) {
        log.append(now, "broken", attemptId, failure.logField());
    }

    /** Records that a reused connection was closed before a response; the request is sent again. */
    void onStaleConnection(Moment now, String attemptId, ConnectionFailure failure) {
        log.append(now, "crossed", attemptId, failure.logField());
    }

    /** Records bytes that arrived outside the response to a request. */
    void onUnexpectedBytes(Dispatcher dispatcher, int byteCount) {
        log.append(EventClock.now(), "unasked", dispatcher.number(), byteCount);
    }
}
