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
 * One poll of the discovery agent: a request, the timeout of its response, and the response. The listener is
 * called at most once, and not after {@link #cancel()}. Used on the I/O thread only.
 */
final class LongPoll implements ExchangeListener {
    private static final int STATUS_OK = 200;
    /**
     * Maximum time from the timeout of the first piece of a response to its end. It is below the 2 s after
     * which an observed change counts as overdue.
     */
    private static final Span MAX_TRANSFER = Span.ofMillis(1500);

    /** Receives the result of a poll: exactly one of these calls, unless the poll is canceled. */
    interface Listener {
        /** Called when the agent has responded with a list. */
        void onList(EndpointList list);

        /** Called when the agent has responded with something that is not a valid list. */
        void onInvalidList(String reason);

        /** Called when there is no response, or one with another status than 200. */
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
    private boolean finished;

    /**
     * Creates a poll that {@link #start} sends; after the first timeout, pieces of the response may be at
     * most {@code responseSlack} apart.
     */
    LongPoll(XnioIoThread thread, Clock clock, HttpConnection connection, Span responseSlack,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.connection = connection;
        this.responseSlack = responseSlack;
        this.listener = listener;
    }

    /** Returns the request for the complete list. */
    static byte[] completeListRequest(InetSocketAddress agent) {
        return request(agent, "/v1/endpoints");
    }

    /**
     * Returns the request for the changes since a version, which the agent may keep open for {@code wait}.
     */
    static byte[] changesRequest(InetSocketAddress agent, long sinceVersion, Span wait) {
        return request(agent, "/v1/endpoints?index=" + sinceVersion + "&wait=" + Math.round(wait.millis()));
    }

    private static byte[] request(InetSocketAddress agent, String path) {
        String host = agent.getHostString() + ":" + agent.getPort();
        String text = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends the request; the response, or its first piece, must arrive within the timeout. */
    void start(byte[] request, Span timeout) {
        Moment deadline = clock.now().plus(timeout).plus(MAX_TRANSFER);
        timer = IoTimer.schedule(thread, timeout, () -> onTimeout(deadline));
        connection.exchange(this, ByteBuffer.wrap(request));
    }

    /**
     * Cancels the timer and all further calls of the listener. The owner of the connection has to close it.
     */
    void cancel() {
        finished = true;
        timer.cancel();
    }

    /**
     * Handles the timeout. First reads pending input, since this thread may be late itself. Then extends the
     * timer while pieces of the response arrive, up to the deadline: with one timeout for the whole response,
     * a long list on a slow link would be dropped and requested again forever.
     */
    private void onTimeout(Moment deadline) {
        connection.poll();
        if (finished) {
            return;
        }
        Span untilDeadline = deadline.since(clock.now());
        Span remaining = responseSlack.minus(connection.timeSinceLastRead()).orShorter(untilDeadline);
        if (remaining.micros() > 0) {
            timer = IoTimer.notBefore(thread, remaining, () -> onTimeout(deadline));
        } else {
            fail("response timed out");
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
            fail("endpoint list is larger than " + ResponseBuffer.MAX_BYTES + " bytes");
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
