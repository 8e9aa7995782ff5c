package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Filters the input between a client's socket and Undertow, which reads only what {@link ClientConnection}
 * passes on.
 */
final class RequestConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final ClientConnection connection;

    RequestConduit(ClientConnection connection, StreamSourceConduit socket) {
        super(socket);
        this.connection = connection;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        return connection.read(to);
    }

    @Override
    public long read(ByteBuffer[] to, int from, int count) throws IOException {
        for (int i = from; i < from + count; i++) {
            if (to[i].hasRemaining()) {
                return read(to[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, through, target);
    }

    /** Also notifies the read listener of input that was read ahead. */
    @Override
    public void resumeReads() {
        connection.resumeReads();
    }
}
