package rampshift.membership.host;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One stream between two members, with one message in each direction, preceded by its length in four bytes.
 * Closes itself when the exchange completes or fails, a message is too long or the timeout expires.
 */
final class StreamExchange {
    /** The maximum size of a message. */
    static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final long TIMEOUT_MS = 2000;
    private static final int INITIAL_BUFFER_BYTES = 4096;
    private static final int LENGTH_BYTES = Integer.BYTES;

    private final StreamConnection connection;
    private final UnaryOperator<byte[]> onMessage;
    private final Consumer<StreamExchange> onClose;
    private final XnioExecutor.Key timeout;
    private ByteBuffer input = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    private ByteBuffer output;
    private boolean closeAfterWrite;
    private boolean closed;

    /**
     * Creates an exchange that is not started yet, and starts its timeout.
     *
     * @param onMessage handles the received message and returns the answer, or null for none
     * @param onClose   called once, when the stream is closed
     */
    StreamExchange(StreamConnection connection, XnioIoThread thread, UnaryOperator<byte[]> onMessage,
            Consumer<StreamExchange> onClose) {
        this.connection = connection;
        this.onMessage = onMessage;
        this.onClose = onClose;
        timeout = thread.executeAfter(this::close, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends a request unless it is null, and starts to receive a message. */
    void start(byte[] request) {
        connection.getSourceChannel().setReadListener(ignored -> onReadable());
        connection.getSinkChannel().setWriteListener(ignored -> onWritable());
        if (request != null) {
            write(request);
        }
        connection.getSourceChannel().resumeReads();
    }

    private void write(byte[] message) {
        output = ByteBuffer.allocate(LENGTH_BYTES + message.length).putInt(message.length).put(message)
                .flip();
        onWritable();
    }

    private void onWritable() {
        try {
            while (!closed && output != null && output.hasRemaining()) {
                if (connection.getSinkChannel().write(output) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            if (closed) {
                return;
            }
            connection.getSinkChannel().suspendWrites();
            if (closeAfterWrite) {
                close();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void onReadable() {
        try {
            while (!closed) {
                int count = connection.getSourceChannel().read(input);
                if (count < 0) {
                    close();
                    return;
                }
                if (count == 0 && input.hasRemaining()) {
                    return;
                }
                if (deliverIfComplete()) {
                    return;
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Delivers the message if it is complete; returns whether no more input is expected. */
    private boolean deliverIfComplete() {
        boolean lengthKnown = input.position() >= LENGTH_BYTES;
        int length = lengthKnown ? input.getInt(0) : 0;
        if (length < 0 || length > MAX_MESSAGE_BYTES) {
            close();
            return true;
        }
        if (lengthKnown && input.position() >= LENGTH_BYTES + length) {
            deliver(length);
            return true;
        }
        if (!input.hasRemaining()) {
            // The buffer grows only with the received bytes: a large announced length reserves no memory.
            int capacity = Math.min(LENGTH_BYTES + length, input.capacity() * 2);
            input = ByteBuffer.allocate(capacity).put(input.flip());
        }
        return false;
    }

    private void deliver(int length) {
        byte[] message = new byte[length];
        input.position(LENGTH_BYTES);
        input.get(message);
        connection.getSourceChannel().suspendReads();
        byte[] answer = onMessage.apply(message);
        if (answer == null) {
            close();
        } else {
            closeAfterWrite = true;
            write(answer);
        }
    }

    /** Closes the stream, whether or not the exchange is complete. */
    void close() {
        if (!closed) {
            closed = true;
            timeout.remove();
            IoUtils.safeClose(connection);
            onClose.accept(this);
        }
    }
}
