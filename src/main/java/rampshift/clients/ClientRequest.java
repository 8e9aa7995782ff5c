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
import org.xnio.IoUtils;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One client that waits for its answer: what it sent, and the one place where it is answered. */
public final class ClientRequest {
    /** Fields that belong to the connection, or that are written anew. */
    private static final Set<HttpString> NOT_PASSED_ON = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE,
            Headers.PROXY_AUTHENTICATE, Headers.PROXY_AUTHORIZATION, Headers.TE, Headers.TRAILER,
            Headers.TRANSFER_ENCODING, Headers.UPGRADE, Headers.CONTENT_LENGTH, Headers.EXPECT);

    private static final Span LOOK_EVERY = Span.ofMillis(20);

    private final ClientListener door;
    private final ClientConnection client;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final Moment wholeAt;
    /**
     * When its connection was last read since its bytes were: they may have lain in a backlog until after it
     * left.
     */
    private Moment lookedAt;
    private Runnable gone;
    private boolean over;

    ClientRequest(ClientListener door, ClientConnection client, HttpServerExchange exchange, byte[] body) {
        this.door = door;
        this.client = client;
        this.exchange = exchange;
        this.body = body;
        wholeAt = client.wholeAt();
    }

    /** When its last byte was here, perhaps long before its turn came: the client's time counts from then. */
    public Moment wholeAt() {
        return wholeAt;
    }

    /** The target as it came, with the query. */
    public String target() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
    }

    public String method() {
        return exchange.getRequestMethod().toString();
    }

    public byte[] body() {
        return body;
    }

    /** A field's only value, or null where there is none; a field that stands twice counts as absent. */
    public String field(String name) {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        return values == null || values.size() != 1 ? null : values.getFirst();
    }

    public boolean has(String name) {
        return exchange.getRequestHeaders().contains(name);
    }

    /** Writes out the fields that go on to a worker, but for the one named. */
    public void passOn(StringBuilder to, String butFor) {
        for (HeaderValues values : exchange.getRequestHeaders()) {
            HttpString name = values.getHeaderName();
            if (!NOT_PASSED_ON.contains(name) && !name.equalToString(butFor)) {
                for (String value : values) {
                    to.append(name).append(": ").append(value).append("\r\n");
                }
            }
        }
    }

    /** From now on the client's leaving is looked out for, and told once. */
    public void onGone(Runnable gone) {
        this.gone = gone;
        client.usual = true;
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        // Only the listener is exchanged, and Undertow puts its own back once the exchange is over: with the
        // conduit's handler exchanged it did not, and every second task on a connection was never read.
        connection.getChannel().getSourceChannel().setReadListener(c -> peek(connection));
        client.resumeReads();
    }

    /** Nothing is due from a client that waits: an end is its leaving, bytes are its next call, for later. */
    private void peek(AbstractServerConnection connection) {
        lookedAt = door.now();
        try {
            if (over) {
                client.suspendReads();
            } else if (client.gone()) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Whether the client still waits for its answer, by what lies unread: its end may have come while this
     * thread was at
     * something else. Not read again within a moment, a fifth of the time that an attempt may begin after the
     * close.
     */
    public boolean waits() {
        if (!over && (lookedAt == null || door.now().since(lookedAt).longerThan(LOOK_EVERY))) {
            peek((AbstractServerConnection) exchange.getConnection());
        }
        return !over;
    }

    /** Its connection has ended. */
    void closed() {
        if (!over) {
            over = true;
            if (gone != null) {
                gone.run();
            }
        }
    }

    /** What it sent behind its call is none: the call's length was wrong, and nothing more is done for it. */
    void unsound(int status) {
        Runnable told = gone;
        if (answer(status, "what follows is no call") && told != null) {
            told.run();
        }
    }

    /** False if the client has gone. {@code comeBackAfter} is in seconds, or null. */
    public boolean answer(int status, String comeBackAfter, byte[] bytes) {
        if (over) {
            return false;
        }
        over = true;
        client.suspendReads();
        exchange.setStatusCode(status);
        if (comeBackAfter != null) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, comeBackAfter);
        }
        if (client.endsNext() || door.ends()) {
            exchange.setPersistent(false);
        }
        exchange.setResponseContentLength(bytes.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
        return true;
    }

    /** A plain word with the status, for people. */
    public boolean answer(int status, String words) {
        return answer(status, null, (words + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
