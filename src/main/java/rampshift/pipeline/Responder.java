package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.time.Span;

/** Fifth stage: the one final answer to the client. */
public final class Responder {
    private static final byte[] NOTHING = {};
    private final TaskRegistry book;

    public Responder(TaskRegistry book) {
        this.book = book;
    }

    void finished(InFlightTask task, byte[] result) {
        close(task, Counters.Name.TASKS_FINISHED, 200, null, result);
    }

    void bounced(InFlightTask task, Span comeBackAfter) {
        String advice = comeBackAfter.micros() < 1000 ? null : comeBackAfter.seconds();
        close(task, Counters.Name.TASKS_REJECTED, 503, advice, NOTHING);
    }

    void abandoned(InFlightTask task) {
        close(task, Counters.Name.TASKS_FAILED, 504, null, NOTHING);
    }

    void clientLeft(InFlightTask task) {
        if (!task.closed) {
            task.closed = true;
            book.count(Counters.Name.CLIENTS_LEFT);
        }
    }

    private void close(InFlightTask task, Counters.Name as, int status, String comeBackAfter, byte[] body) {
        if (task.closed) {
            return;
        }
        task.closed = true;
        book.count(task.call.respond(status, comeBackAfter, body) ? as : Counters.Name.CLIENTS_LEFT);
    }
}
