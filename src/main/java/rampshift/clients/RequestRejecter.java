package rampshift.clients;

import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.XnioIoThread;
import rampshift.counters.Counters;
import rampshift.log.Log;

/** Responds to input that never becomes a request: interim responses, and rejections of what is invalid. */
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

    /** Rejects a request of which the HTTP server has read nothing; the connection stays open. */
    void rejectForOverload(ClientConnection connection) {
        connection.withholdRequest();
        writer.write(connection, ByteBuffer.wrap(overloadResponse), () -> {
            connection.responseSent(false);
            connection.resumeReads();
        });
    }

    /** Sends "100 Continue"; no request is handed on before all of it is written. */
    void sendContinue(ClientConnection connection) {
        connection.setInterimResponsePending(true);
        writer.write(connection, ByteBuffer.wrap(CONTINUE), () -> {
            connection.setInterimResponsePending(false);
            connection.resumeReads();
        });
    }

    /** Counts and logs that a client sent more behind its request than is kept. */
    void pipelinedInputDropped(ClientConnection connection) {
        connection.releaseMemory();
        counters.add(Counters.Name.PIPELINED_INPUT_DROPPED);
        Log.warn("pipelined-input-dropped", "why", "more calls than are kept behind the one in hand",
                "dropped", "what follows it");
    }

    /** Rejects what a client sent: it is given a response, and its input discarded until it has read that. */
    void reject(ClientConnection connection, InvalidRequestException reason) {
        counters.add(Counters.Name.REQUESTS_REFUSED);
        Log.warn("request-refused", "status", reason.status(), "why", reason.getMessage());
        ClientRequest request = connection.currentRequest();
        connection.startClosing();
        connection.releaseMemory();
        if (request == null) {
            // Later, since Undertow sets its own read listener once more when its present read returns.
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
