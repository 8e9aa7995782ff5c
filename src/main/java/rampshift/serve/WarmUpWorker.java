package rampshift.serve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSourceChannel;

/** An emulated worker on one end of a pipe: responds once the complete request has been received. */
final class WarmUpWorker {
    private static final int REQUEST_BYTES = 4096;

    private final StreamConnection connection;
    private final Supplier<byte[]> response;
    private final ByteBuffer received = ByteBuffer.allocate(REQUEST_BYTES);

    private WarmUpWorker(StreamConnection connection, Supplier<byte[]> response) {
        this.connection = connection;
        this.response = response;
    }

    /**
     * Returns an acceptor of connections, on which a worker responds with the current value of the supplier.
     */
    static ChannelListener<StreamConnection> acceptor(Supplier<byte[]> response) {
        return connection -> new WarmUpWorker(connection, response).start();
    }

    private void start() {
        connection.getSourceChannel().setReadListener(this::onReadable);
        connection.getSourceChannel().resumeReads();
    }

    private void onReadable(StreamSourceChannel source) {
        try {
            int count;
            do {
                count = source.read(received);
            } while (count > 0);
            if (isRequestComplete()) {
                received.clear();
                connection.getSinkChannel().write(ByteBuffer.wrap(response.get()));
            } else if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private boolean isRequestComplete() {
        byte[] body = WarmUpMessages.requestBody();
        int bodyStart = received.position() - body.length;
        return bodyStart >= 0
                && ByteBuffer.wrap(body).equals(received.duplicate().flip().position(bodyStart));
    }
}
