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
 * A complete request whose client waits for the response: what it holds, and the one place where it is
 * answered.
 */
public final class ClientRequest {
    /** Fields that belong to the connection, or that are written anew for workers. */
    private static final Set<HttpString> HOP_BY_HOP_FIELDS = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE,
            Headers.PROXY_AUTHENTICATE, Headers.PROXY_AUTHORIZATION, Headers.TE, Headers.TRAILER,
            Headers.TRANSFER_ENCODING, Headers.UPGRADE, Headers.CONTENT_LENGTH, Headers.EXPECT);
    /** A fifth of the time for which an attempt may still begin after the client has closed. */
    private static final Span POLL_INTERVAL = Span.ofMillis(20);

    private final Clock clock;
    private final BooleanSupplier closeAfterResponse;
    private final ClientConnection connection;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final Moment receivedAt;
    /**
     * When the connection was last read since the request was: the client's close may have come with its
     * bytes.
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
     * Returns when the last byte was here, perhaps long before the turn of the request; client time counts
     * from then.
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

    /** Returns the only value of a header field; null if the field is absent or has several values. */
    public String field(String name) {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        return values == null || values.size() != 1 ? null : values.getFirst();
    }

    /** Returns whether a header field is there, once or more often. */
    public boolean hasField(String name) {
        return exchange.getRequestHeaders().contains(name);
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
     * Accepts the request as a task: from now on the connection is watched, and a disconnect is reported
     * once.
     */
    public void onDisconnect(Runnable listener) {
        onDisconnect = listener;
        connection.taskAccepted();
        AbstractServerConnection httpConnection = httpConnection();
        // Only the read listener is replaced, and Undertow restores its own after the exchange. With the
        // conduit's
        // handler replaced it did not, and every second task on a connection was never read.
        httpConnection.getChannel().getSourceChannel().setReadListener(channel -> poll(httpConnection));
        connection.resumeReads();
    }

    private AbstractServerConnection httpConnection() {
        return (AbstractServerConnection) exchange.getConnection();
    }

    /**
     * Nothing is expected from a client that waits: an end is a disconnect, bytes belong to its next request.
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
     * Returns whether the client still waits for its response. Reads what the socket holds, at most once an
     * interval, since the client may have closed while this thread was busy.
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
     * Rejects the request for what came behind it: its declared length was wrong, and the task is given up.
     */
    void rejectForInvalidInput(int status) {
        Runnable listener = onDisconnect;
        if (respond(status, "what follows is no call") && listener != null) {
            listener.run();
        }
    }

    /**
     * Sends the response.
     *
     * @param retryAfterSeconds the value of Retry-After, or null for none
     * @return false if the client has left or was answered already
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
        exchange.getResponseSender().send(ByteBuffer.wrap(responseBody));
        return true;
    }

    /**
     * Sends a response of one line of text, and returns false if the client has left or was answered already.
     */
    public boolean respond(int status, String text) {
        return respond(status, null, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
