package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSinkChannel;

/** Writes to a client connection outside an exchange of the HTTP server. */
final class ConnectionWriter {
    private final ConnectionCloser closer;

    ConnectionWriter(ConnectionCloser closer) {
        this.closer = closer;
    }

    /** Writes all bytes without blocking, then runs the completion. Closes the connection on errors. */
    void write(ClientConnection connection, ByteBuffer bytes, Runnable completion) {
        ConduitStreamSinkChannel sink = connection.channel().getSinkChannel();
        try {
            while (bytes.hasRemaining()) {
                if (sink.write(bytes) == 0) {
                    sink.setWriteListener(channel -> write(connection, bytes, completion));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
            completion.run();
        } catch (IOException e) {
            closer.close(connection);
        }
    }
}
