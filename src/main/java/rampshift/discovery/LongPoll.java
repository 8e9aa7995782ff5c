package rampshift.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioIoThread;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One poll of the discovery agent: a request, the timer on its response, and the response. Its listener is
 * called at most once, and not after {@link #cancel()}. All on the I/O thread.
 */
final class LongPoll implements ExchangeListener {
    private static final int STATUS_OK = 200;
    /**
     * How long a response that comes in pieces may take beyond the time for its first one: less than the 2
     * s after which an observed change counts as overdue.
     */
    private static final Span MAX_TRANSFER = Span.ofMillis(1500);

    /** What comes of a poll: exactly one of these, unless it is canceled. */
    interface Listener {
        /** The agent has answered with a list. */
        void onList(EndpointList list);

        /** The agent has answered with something else than a list. */
        void onInvalidList(String reason);

        /** No response, or one that is no success. */
        void onFailure(String reason);
    }

    private final XnioIoThread thread;
    private final Clock clock;
    private final HttpConnection connection;
    private final Span responseSlack;
    private final Listener listener;
    private final ResponseBuffer body = new ResponseBuffer();
    private IoTimer timer;
    private int status;
    private boolean over;

    /** A poll that {@link #start} sends; further pieces of a response may be {@code responseSlack} apart. */
    LongPoll(XnioIoThread thread, Clock clock, HttpConnection connection, Span responseSlack,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.connection = connection;
        this.responseSlack = responseSlack;
        this.listener = listener;
    }

    /** The request for the complete list. */
    static byte[] completeListRequest(InetSocketAddress agent) {
        return request(agent, "/v1/endpoints");
    }

    /** The request for what has changed since a version, which the agent may keep open for {@code wait}. */
    static byte[] changesRequest(InetSocketAddress agent, long sinceVersion, Span wait) {
        return request(agent, "/v1/endpoints?index=" + sinceVersion + "&wait=" + Math.round(wait.millis()));
    }

    private static byte[] request(InetSocketAddress agent, String path) {
        String host = agent.getHostString() + ":" + agent.getPort();
        String text = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends the request; the response, or its first piece, has to come within the timeout. */
    void start(byte[] request, Span timeout) {
        Moment deadline = clock.now().plus(timeout).plus(MAX_TRANSFER);
        timer = IoTimer.in(thread, timeout, () -> onTimeout(deadline));
        connection.exchange(this, ByteBuffer.wrap(request));
    }

    /** Gives back the timer; nothing is reported any more. The connection is its owner's to close. */
    void cancel() {
        over = true;
        timer.cancel();
    }

    /**
     * The response may lie unread, where this thread is what is late, or may be coming in pieces: with one
     * timeout for all of it, a long list on a slow link was dropped and requested again, forever.
     */
    private void onTimeout(Moment deadline) {
        connection.poll();
        if (over) {
            return;
        }
        Span untilDeadline = deadline.since(clock.now());
        Span remaining = responseSlack.minus(connection.timeSinceLastRead()).orShorter(untilDeadline);
        if (remaining.micros() > 0) {
            timer = IoTimer.notBefore(thread, remaining, () -> onTimeout(deadline));
        } else {
            fail("no response in time");
        }
    }

    private void fail(String reason) {
        cancel();
        listener.onFailure(reason);
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void onBody(byte[] piece, int offset, int count) {
        if (!body.append(piece, offset, count)) {
            fail("endpoint list is over " + ResponseBuffer.MAX_BYTES + " bytes");
        }
    }

    @Override
    public void onComplete() {
        if (status != STATUS_OK) {
            fail("status " + status);
            return;
        }
        EndpointList list;
        try {
            list = body.parse();
        } catch (InvalidInputException e) {
            cancel();
            listener.onInvalidList(e.getMessage());
            return;
        }
        cancel();
        listener.onList(list);
    }

    @Override
    public void onFailure(String reason) {
        fail(reason);
    }
}
