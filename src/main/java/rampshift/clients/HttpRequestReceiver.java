package rampshift.clients;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import rampshift.time.Clock;

/**
 * Runs Undertow's HTTP server on client connections: serves status pages, and passes all other requests to
 * the handler.
 */
final class HttpRequestReceiver {
    private final Clock clock;
    private final ConnectionTable table;
    private final ConnectionCloser closer;
    private final RequestHandler handler;
    private final BooleanSupplier closeAfterResponse;
    private final Map<String, Supplier<StatusPage>> pages = new HashMap<>();
    private final HttpOpenListener server;

    /**
     * Creates the receiver.
     *
     * @param closeAfterResponse returns whether connections are currently closed after their responses
     */
    HttpRequestReceiver(ByteBufferPool buffers, Clock clock, ConnectionTable table, ConnectionCloser closer,
            RequestHandler handler, BooleanSupplier closeAfterResponse) {
        this.clock = clock;
        this.table = table;
        this.closer = closer;
        this.handler = handler;
        this.closeAfterResponse = closeAfterResponse;
        server = new HttpOpenListener(buffers, options());
        server.setRootHandler(this::handle);
    }

    /**
     * Returns the limits of Undertow, which are wider than those of RequestReader: Undertow reads only
     * requests that RequestReader has accepted.
     */
    private static OptionMap options() {
        return OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) RequestReader.MAX_REQUEST_BYTES)
                .set(UndertowOptions.MAX_HEADER_SIZE, 2 * RequestReader.MAX_HEAD_BYTES)
                .set(UndertowOptions.MAX_HEADERS, 2 * RequestHead.MAX_FIELDS)
                .set(UndertowOptions.MAX_PARAMETERS, RequestReader.MAX_HEAD_BYTES)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap();
    }

    void addPage(String path, Supplier<StatusPage> page) {
        pages.put(path, page);
    }

    /** Starts serving a connection that is in the table. */
    void serve(StreamConnection channel) {
        server.handleEvent(channel);
    }

    private void handle(HttpServerExchange exchange) {
        ClientConnection connection = registerListeners(exchange);
        Supplier<StatusPage> page = pages.get(exchange.getRequestURI());
        if (page != null && isGetOrHead(exchange.getRequestMethod())) {
            sendPage(exchange, page.get());
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(
                (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE,
                        () -> passToHandler(connection, received, body)),
                (failed, cause) -> {
                    failed.setPersistent(false);
                    failed.setStatusCode(StatusCodes.BAD_REQUEST);
                    failed.endExchange();
                });
    }

    private static boolean isGetOrHead(HttpString method) {
        return method.equals(Methods.GET) || method.equals(Methods.HEAD);
    }

    private void sendPage(HttpServerExchange exchange, StatusPage page) {
        exchange.setPersistent(exchange.isPersistent() && !closeAfterResponse.getAsBoolean());
        exchange.setStatusCode(page.status());
        exchange.getResponseSender().send(page.text());
    }

    private void passToHandler(ClientConnection connection, HttpServerExchange exchange, byte[] body) {
        ClientRequest request = new ClientRequest(clock, closeAfterResponse, connection, exchange, body);
        connection.setCurrentRequest(request);
        handler.onRequest(request);
    }

    /**
     * Registers listeners for the end of the exchange and for the close of its connection, and returns the
     * connection.
     */
    private ClientConnection registerListeners(HttpServerExchange exchange) {
        AbstractServerConnection httpConnection = (AbstractServerConnection) exchange.getConnection();
        ClientConnection connection = table.get(httpConnection.getChannel());
        if (connection.markCloseListenerAdded()) {
            httpConnection.addCloseListener(closed -> connectionClosed(connection));
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            connection.setCurrentRequest(null);
            connection.responseSent(!completed.isPersistent());
            next.proceed();
        });
        return connection;
    }

    private void connectionClosed(ClientConnection connection) {
        closer.forget(connection);
        ClientRequest request = connection.currentRequest();
        connection.setCurrentRequest(null);
        if (request != null) {
            request.connectionClosed();
        }
    }
}
