package rampshift.pipeline;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import rampshift.clients.ClientRequest;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.workers.AttemptExchange;

/** A task that was taken in, until it is answered and all its assignments have ended. */
final class InFlightTask {
    final long id;
    final ClientRequest call;
    final String txn;
    final int type;
    final int tenant;
    /** It must not run twice. */
    final boolean once;
    /** How long workers drop a repeat, from the first send that may have run; null unless fingerprinted. */
    private final Span window;
    final double width;
    final double memory;
    Moment expiry;
    /** All of the head that goes on to workers, but for the time left; and the body, as they came. */
    private final byte[] head;
    private final byte[] body;
    /** In the order of their numbers; null once ended. */
    final List<AttemptExchange> assignments = new ArrayList<>(2);
    /** When each of them was decided; null for those that are known not to have run. */
    final List<Moment> sentAt = new ArrayList<>(2);
    int out;
    boolean closed;

    InFlightTask(long id, ClientRequest call, String txn, int type, int tenant, boolean once, Span window,
            double width,
            double memory, Moment expiry) {
        this.id = id;
        this.call = call;
        this.txn = txn;
        this.type = type;
        this.tenant = tenant;
        this.once = once;
        this.window = window;
        this.width = width;
        this.memory = memory;
        this.expiry = expiry;
        StringBuilder text = new StringBuilder(512);
        text.append(call.method()).append(' ').append(call.target()).append(" HTTP/1.1\r\n");
        call.appendForwardedFields(text, RequestDecoder.REMAINING);
        text.append("Content-Length: ").append(call.body().length).append("\r\n");
        head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        body = call.body();
    }

    /** Its answer must be given by then, however long its client would wait. */
    void endBy(Moment end) {
        expiry = expiry.orEarlier(end);
    }

    /** The next assignment must begin before: the expiry, or the end of an earlier one's window. */
    Moment sendBy() {
        Moment end = expiry;
        for (Moment at : sentAt) {
            if (window != null && at != null) {
                end = end.orEarlier(at.plus(window));
            }
        }
        return end;
    }

    int bytes() {
        return head.length + body.length;
    }

    /** The whole message for one worker. */
    ByteBuffer[] message(Moment now) {
        String last = RequestDecoder.REMAINING + ": " + expiry.since(now).seconds() + "\r\n\r\n";
        return new ByteBuffer[]{ByteBuffer.wrap(head),
                ByteBuffer.wrap(last.getBytes(StandardCharsets.ISO_8859_1)), ByteBuffer.wrap(body)};
    }
}
