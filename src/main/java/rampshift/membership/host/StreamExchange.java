package rampshift.membership.host;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One stream between two members: a message each way, four bytes of length before it, then the end. It has a
 * bound in
 * bytes and in time, and ends itself.
 */
final class StreamExchange {
    static final int MOST = 1 << 20;
    private static final long LONGEST_MS = 2000;
    private static final int FIRST = 4096;

    private final StreamConnection connection;
    private final Function<byte[], byte[]> got;
    private final Runnable over;
    private final XnioExecutor.Key timer;
    private ByteBuffer in = ByteBuffer.allocate(FIRST);
    private ByteBuffer out;
    private boolean last;
    private boolean closed;

    /**
     * What is got may be answered, or null. First: what is said before; null to listen. Over: once, at its
     * end.
     */
    StreamExchange(StreamConnection connection, XnioIoThread thread, byte[] first,
            Function<byte[], byte[]> got,
            Runnable over) {
        this.connection = connection;
        this.got = got;
        this.over = over;
        timer = thread.executeAfter(this::close, LONGEST_MS, TimeUnit.MILLISECONDS);
        connection.getSourceChannel().setReadListener(c -> readable());
        connection.getSinkChannel().setWriteListener(c -> writable());
        if (first != null) {
            write(first);
        }
        connection.getSourceChannel().resumeReads();
    }

    private void write(byte[] message) {
        out = ByteBuffer.allocate(4 + message.length).putInt(message.length).put(message).flip();
        writable();
    }

    private void writable() {
        try {
            while (!closed && out != null && out.hasRemaining()) {
                if (connection.getSinkChannel().write(out) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            if (!closed) {
                connection.getSinkChannel().suspendWrites();
                if (last) {
                    close();
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private void readable() {
        try {
            while (!closed) {
                int count = connection.getSourceChannel().read(in);
                if (count < 0) {
                    close();
                    return;
                }
                if (count == 0 && in.hasRemaining()) {
                    return;
                }
                int length = in.position() < 4 ? 0 : in.getInt(0);
                if (length < 0 || length > MOST) {
                    close();
                    return;
                }
                if (in.position() >= 4 && in.position() >= 4 + length) {
                    whole(length);
                    return;
                }
                if (!in.hasRemaining()) {
                    // No further than what has come has earned: a length alone takes no memory.
                    in = ByteBuffer.allocate(Math.min(4 + length, in.capacity() * 2)).put(in.flip());
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    private void whole(int length) {
        byte[] message = new byte[length];
        in.position(4);
        in.get(message);
        connection.getSourceChannel().suspendReads();
        byte[] answer = got.apply(message);
        if (answer == null) {
            close();
        } else {
            last = true;
            write(answer);
        }
    }

    void close() {
        if (!closed) {
            closed = true;
            timer.remove();
            IoUtils.safeClose(connection);
            over.run();
        }
    }
}
