package rampshift.stages;

import rampshift.counters.Counters;
import rampshift.time.Span;

/** Fifth stage: the one final answer to the client. */
public final class Relay {
    private static final byte[] NOTHING = {};
    private final Book book;

    public Relay(Book book) {
        this.book = book;
    }

    void finished(InHand task, byte[] result) {
        close(task, Counters.Name.FINISHED, 200, null, result);
    }

    void bounced(InHand task, Span comeBackAfter) {
        String advice = comeBackAfter.micros() < 1000 ? null : comeBackAfter.seconds();
        close(task, Counters.Name.BOUNCED, 503, advice, NOTHING);
    }

    void abandoned(InHand task) {
        close(task, Counters.Name.ABANDONED, 504, null, NOTHING);
    }

    void clientLeft(InHand task) {
        if (!task.closed) {
            task.closed = true;
            book.count(Counters.Name.CLIENT_GONE);
        }
    }

    private void close(InHand task, Counters.Name as, int status, String comeBackAfter, byte[] body) {
        if (task.closed) {
            return;
        }
        task.closed = true;
        book.count(task.call.answer(status, comeBackAfter, body) ? as : Counters.Name.CLIENT_GONE);
    }
}
