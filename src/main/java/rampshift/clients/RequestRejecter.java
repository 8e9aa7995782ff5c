package rampshift.clients;

import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioIoThread;
import rampshift.counters.Counters;
import rampshift.log.Log;

/**
 * Writes the responses that don't pass through the HTTP server: interim responses, rejections for overload
 * and rejections of invalid input.
 */
final class RequestRejecter {
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final XnioIoThread thread;
    private final Counters counters;
    private final ConnectionCloser closer;
    private final ConnectionWriter writer;
    private final byte[] overloadResponse;

    RequestRejecter(XnioIoThread thread, Counters counters, ConnectionCloser closer,
            ConnectionWriter writer, String retryAfterSeconds) {
        this.thread = thread;
        this.counters = counters;
        this.closer = closer;
        this.writer = writer;
        overloadResponse = overloadResponse(retryAfterSeconds).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String overloadResponse(String retryAfterSeconds) {
        String retryAfter = retryAfterSeconds == null ? "" : "Retry-After: " + retryAfterSeconds + "\r\n";
        return "HTTP/1.1 503 Service Unavailable\r\n" + retryAfter + "Content-Length: 0\r\n\r\n";
    }

    /** Rejects a request for overload before the HTTP server reads it; the connection stays open. */
    void rejectForOverload(ClientConnection connection) {
        connection.withholdRequest();
        writer.write(connection, ByteBuffer.wrap(overloadResponse), () -> {
            connection.responseSent(false);
            connection.resumeReads();
        });
    }

    /** Sends "100 Continue"; no request is passed to the HTTP server before it is fully written. */
    void sendContinue(ClientConnection connection) {
        connection.setInterimResponsePending(true);
        writer.write(connection, ByteBuffer.wrap(CONTINUE), () -> {
            connection.setInterimResponsePending(false);
            connection.resumeReads();
        });
    }

    /**
     * Releases the memory of the dropped input after the request in flight, and counts and logs the drop. The
     * request in flight still gets its response; then the connection is closed.
     */
    void pipelinedInputDropped(ClientConnection connection) {
        connection.releaseMemory();
        counters.add(Counters.Name.PIPELINED_INPUT_DROPPED);
        Log.warn("pipelined-input-dropped", "why",
                "pipelined input exceeds the limit per connection or the memory for all connections",
                "dropped", "all input after the request in flight");
    }

    /**
     * Rejects invalid input of a client: sends a response, and discards input until the client has read it.
     */
    void reject(ClientConnection connection, InvalidRequestException reason) {
        counters.add(Counters.Name.REQUESTS_REFUSED);
        Log.warn("request-refused", "status", reason.status(), "why", reason.getMessage());
        ClientRequest request = connection.currentRequest();
        connection.startClosing();
        connection.releaseMemory();
        if (request == null) {
            // Deferred, since Undertow sets its own read listener again when its current read returns.
            thread.execute(() -> writeRejection(connection, reason));
        } else {
            request.rejectForInvalidInput(reason.status());
        }
    }

    private void writeRejection(ClientConnection connection, InvalidRequestException reason) {
        if (!connection.channel().isOpen()) {
            return;
        }
        closer.keepDiscardingInput(connection);
        byte[] response = response(reason).getBytes(StandardCharsets.ISO_8859_1);
        writer.write(connection, ByteBuffer.wrap(response), () -> closer.shutdownWrites(connection));
    }

    private static String response(InvalidRequestException reason) {
        String text = reason.getMessage();
        return "HTTP/1.1 " + reason.status() + " " + StatusCodes.getReason(reason.status())
                + "\r\nConnection: close\r\nContent-Length: " + (text.length() + 1) + "\r\n\r\n" + text
                + "\n";
    }
}
