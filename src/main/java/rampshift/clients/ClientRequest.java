package rampshift.clients;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A complete request whose client waits for the response. Gives access to the request and sends its only
 * response.
 */
public final class ClientRequest {
    /**
     * Header fields that are not forwarded: they apply to one connection only, or are generated anew for
     * workers.
     */
    private static final Set<HttpString> HOP_BY_HOP_FIELDS = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE,
            Headers.PROXY_AUTHENTICATE, Headers.PROXY_AUTHORIZATION, Headers.TE, Headers.TRAILER,
            Headers.TRANSFER_ENCODING, Headers.UPGRADE, Headers.CONTENT_LENGTH, Headers.EXPECT);
    /**
     * Minimum interval between reads that detect a disconnect: a fifth of the time for which an attempt may
     * still begin after the client has closed the connection.
     */
    private static final Span POLL_INTERVAL = Span.ofMillis(20);

    /** The memory for the strings of a header field in the HTTP server, beside their characters. */
    private static final int FIELD_OVERHEAD_BYTES = 200;

    private final Clock clock;
    private final BooleanSupplier closeAfterResponse;
    private final ClientConnection connection;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final Moment receivedAt;
    /**
     * When the connection was last read after the request. Null before the first such read, since the
     * client's close may have arrived along with the request.
     */
    private Moment polledAt;
    private Runnable onDisconnect;
    private boolean completed;

    ClientRequest(Clock clock, BooleanSupplier closeAfterResponse, ClientConnection connection,
            HttpServerExchange exchange, byte[] body) {
        this.clock = clock;
        this.closeAfterResponse = closeAfterResponse;
        this.connection = connection;
        this.exchange = exchange;
        this.body = body;
        receivedAt = connection.requestReceivedAt();
    }

    /**
     * Returns when the last byte was received, which may be long before the request was processed; the
     * deadline counts from then.
     */
    public Moment receivedAt() {
        return receivedAt;
    }

    /** Returns the target as received, with the query. */
    public String target() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
    }

    /** Returns the HTTP method. */
    public String method() {
        return exchange.getRequestMethod().toString();
    }

    /** Returns the body without its framing; not a copy. */
    public byte[] body() {
        return body;
    }

    /** Returns the single value of a header field; null if the field is absent or has several values. */
    public String field(String name) {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        return values == null || values.size() != 1 ? null : values.getFirst();
    }

    /** Returns whether a header field is present. */
    public boolean hasField(String name) {
        return exchange.getRequestHeaders().contains(name);
    }

    /** Returns the memory that the head of the request takes up, in bytes. */
    public int heldHeadBytes() {
        int bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += FIELD_OVERHEAD_BYTES + 2 * values.getHeaderName().length() + value.length();
            }
        }
        return bytes;
    }

    /**
     * Appends the lines of the header fields that are forwarded to a worker, except the field of this name.
     */
    public void appendForwardedFields(StringBuilder to, String exceptName) {
        for (HeaderValues values : exchange.getRequestHeaders()) {
            HttpString name = values.getHeaderName();
            if (!HOP_BY_HOP_FIELDS.contains(name) && !name.equalToString(exceptName)) {
                for (String value : values) {
                    to.append(name).append(": ").append(value).append("\r\n");
                }
            }
        }
    }

    /**
     * Accepts the request as a task: the connection is monitored from now on, and the listener is run at most
     * once, when the client disconnects.
     */
    public void onDisconnect(Runnable listener) {
        onDisconnect = listener;
        connection.taskAccepted();
        AbstractServerConnection httpConnection = httpConnection();
        // Replaces only the read listener, since Undertow restores its own after the exchange. It does not
        // restore a replaced handler of the conduit, and then every second task on a connection is never
        // read.
        httpConnection.getChannel().getSourceChannel().setReadListener(channel -> poll(httpConnection));
        connection.resumeReads();
    }

    private AbstractServerConnection httpConnection() {
        return (AbstractServerConnection) exchange.getConnection();
    }

    /**
     * Reads the connection of a waiting client: the end of the input is a disconnect, and bytes belong to the
     * next request.
     */
    private void poll(AbstractServerConnection httpConnection) {
        polledAt = clock.now();
        try {
            if (completed) {
                connection.suspendReads();
            } else if (connection.readUntilPeerClosed()) {
                IoUtils.safeClose(httpConnection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(httpConnection);
        }
    }

    /**
     * Returns whether the client still waits for its response. Reads the socket first, at most once per
     * interval, since the client may have closed the connection while this thread was busy.
     */
    public boolean isClientWaiting() {
        if (!completed && (polledAt == null || clock.now().since(polledAt).longerThan(POLL_INTERVAL))) {
            poll(httpConnection());
        }
        return !completed;
    }

    void connectionClosed() {
        if (!completed) {
            completed = true;
            if (onDisconnect != null) {
                onDisconnect.run();
            }
        }
    }

    /**
     * Rejects the request because of invalid input after it: its declared length was wrong, and the task is
     * canceled.
     */
    void rejectForInvalidInput(int status) {
        Runnable listener = onDisconnect;
        if (respond(status, "invalid input after the request") && listener != null) {
            listener.run();
        }
    }

    /**
     * Sends the response.
     *
     * @param retryAfterSeconds the value of Retry-After, or null for none
     * @return false if the client has disconnected or a response was already sent
     */
    public boolean respond(int status, String retryAfterSeconds, byte[] responseBody) {
        if (completed) {
            return false;
        }
        completed = true;
        connection.suspendReads();
        exchange.setStatusCode(status);
        if (retryAfterSeconds != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds);
        }
        if (connection.closesAfterResponse() || closeAfterResponse.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        exchange.setResponseContentLength(responseBody.length);
        connection.responseStarted(responseBody.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(responseBody));
        return true;
    }

    /**
     * Sends a response of one line of text, and returns false if the client has disconnected or a response
     * was already sent.
     */
    public boolean respond(int status, String text) {
        return respond(status, null, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
