package rampshift.testbed.clients;

import java.util.Locale;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.wire.Message;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The events that clients write for the rule checker, which compares them with those of the workers. The
 * words and the order of the fields are the checker's.
 */
final class ClientEventLog {
    private static final String NO_RESULT = "-";

    private final EventLog log;
    private final int process;

    /**
     * Creates the log of one load process.
     *
     * @param log receives the events; whoever opened it closes it
     * @param process the number of the process, from 0
     */
    ClientEventLog(EventLog log, int process) {
        this.log = log;
        this.process = process;
    }

    /** A request is about to be sent for the first time. */
    void onSent(Moment now, ClientTaskRequest request, Dispatcher dispatcher) {
        ClientTask task = request.task();
        String taskId = process + "." + task.number();
        String effect = task.type().effect().name().toLowerCase(Locale.ROOT);
        Span timeout = request.timeout();
        log.append(now, "sent", request.attemptId(), taskId, task.type().name(), effect, dispatcher.number(),
                timeout.micros(), request.attemptNumber());
    }

    /** A response has arrived, in time or not. */
    void onResponse(Moment now, String attemptId, Message response) {
        String result = AttemptResult.isFinished(response) ? response.text() : NO_RESULT;
        log.append(now, "answer", attemptId, response.status(), result);
    }

    /** No response has arrived, and none is waited for any longer. */
    void onTimeout(String attemptId) {
        log.append(EventClock.now(), "none", attemptId);
    }

    /** No connection could be opened; nothing was sent. */
    void onUnreachable(String attemptId, Dispatcher dispatcher) {
        log.append(EventClock.now(), "unreachable", attemptId, dispatcher.number());
    }

    /** The connection was lost; the task may have run. */
    void onConnectionLost(Moment now, String attemptId, ConnectionFailure failure) {
        log.append(now, "broken", attemptId, failure.logField());
    }

    /** The connection was closed between two tasks while the request was on its way; it is sent again. */
    void onStaleConnection(Moment now, String attemptId, ConnectionFailure failure) {
        log.append(now, "crossed", attemptId, failure.logField());
    }

    /** Bytes have arrived on a connection on which no response was awaited. */
    void onUnexpectedBytes(Dispatcher dispatcher, int byteCount) {
        log.append(EventClock.now(), "unasked", dispatcher.number(), byteCount);
    }
}
