package rampshift.testbed.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One end of a connection with emulated network faults: bytes can be blocked, delayed, or sent one by one.
 * Used on one I/O thread only. The creator closes it.
 */
public final class FaultyConnection {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Receives the bytes that arrive on a connection, and its end. */
    public interface Listener {
        /**
         * Handles bytes that have arrived.
         *
         * @param bytes an array that is valid only during this call
         * @param count the number of bytes, from the start of the array
         */
        void onBytes(byte[] bytes, int count);

        /**
         * Handles the close of the connection by the peer. Not called after this side has closed it.
         *
         * @param reset whether the connection was reset
         */
        void onClosed(boolean reset);
    }

    private final StreamConnection connection;
    private final XnioIoThread thread;
    private final Listener listener;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final ArrayDeque<ByteBuffer> unwritten = new ArrayDeque<>();
    private Span delay = Span.ZERO;
    private Span byteInterval = Span.ZERO;
    private boolean blocked;
    private Moment blockedSince;
    /**
     * The time at which the connection was last blocked, while bytes that arrived during the blocking may
     * still be read; null otherwise.
     */
    private Moment backlogSince;
    private boolean awaitsByteInterval;
    private boolean closed;
    private boolean closesAfterWrites;

    /** Wraps a connection without reading from it yet. */
    public FaultyConnection(StreamConnection connection, XnioIoThread thread, Listener listener) {
        this.connection = connection;
        this.thread = thread;
        this.listener = listener;
        connection.getSourceChannel().setReadListener(ignored -> read());
        connection.getSinkChannel().setWriteListener(ignored -> flush());
    }

    /** Starts to read. */
    public FaultyConnection start() {
        if (!blocked) {
            connection.getSourceChannel().wakeupReads();
        }
        return this;
    }

    /** Sets the delay of bytes in each direction. */
    public void setDelay(Span delay) {
        this.delay = delay;
    }

    /** Sets the time between two bytes that are sent from now on; zero to send them together. */
    public void setByteInterval(Span interval) {
        byteInterval = interval;
    }

    /** Blocks the connection, so that its socket is neither read, written nor reset, or unblocks it. */
    public void setBlocked(boolean block) {
        if (block && !blocked) {
            blockedSince = EventClock.now();
        }
        backlogSince = block ? null : blockedSince;
        blocked = block;
        if (closed) {
            return;
        }
        if (block) {
            connection.getSourceChannel().suspendReads();
            connection.getSinkChannel().suspendWrites();
        } else {
            connection.getSourceChannel().wakeupReads();
            flush();
        }
    }

    /**
     * Returns the earliest time at which the bytes now passed to the listener may have been sent. On a
     * connection with a delay, this is the present time, even for bytes that arrived while it was blocked.
     */
    public Moment earliestSendTime() {
        return backlogSince == null ? EventClock.now() : backlogSince;
    }

    /** Returns whether either side has closed the connection. */
    public boolean isClosed() {
        return closed;
    }

    private void read() {
        try {
            while (!closed && !blocked) {
                readBuffer.clear();
                int count = connection.getSourceChannel().read(readBuffer);
                if (count == 0) {
                    backlogSince = null;
                    connection.getSourceChannel().resumeReads();
                    return;
                }
                if (count < 0) {
                    runDelayed(() -> onPeerClosed(false));
                    connection.getSourceChannel().suspendReads();
                    return;
                }
                deliver(count);
            }
        } catch (IOException e) {
            onPeerClosed(true);
        }
    }

    private void deliver(int count) {
        if (delay.micros() == 0) {
            listener.onBytes(readBuffer.array(), count);
        } else {
            byte[] copy = Arrays.copyOf(readBuffer.array(), count);
            runDelayed(() -> listener.onBytes(copy, copy.length));
        }
    }

    private void runDelayed(Runnable action) {
        if (delay.micros() == 0) {
            action.run();
        } else {
            runAfter(delay, () -> {
                if (!closed) {
                    action.run();
                }
            });
        }
    }

    private void runAfter(Span span, Runnable action) {
        thread.executeAfter(action, Math.max(1, Math.round(span.millis())), TimeUnit.MILLISECONDS);
    }

    /** Writes a text in UTF-8. */
    public void write(String text) {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes bytes; the array must not be changed afterwards. */
    public void write(byte[] bytes) {
        runDelayed(() -> {
            unwritten.add(ByteBuffer.wrap(bytes));
            flush();
        });
    }

    /** Closes the connection once everything has been written. */
    public void closeAfterWrites() {
        runDelayed(() -> {
            closesAfterWrites = true;
            flush();
        });
    }

    private void flush() {
        if (closed || blocked || awaitsByteInterval) {
            return;
        }
        try {
            while (!unwritten.isEmpty()) {
                ByteBuffer first = unwritten.peek();
                if (byteInterval.micros() > 0) {
                    writeOneByte(first);
                    return;
                }
                if (first.hasRemaining() && connection.getSinkChannel().write(first) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!first.hasRemaining()) {
                    unwritten.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
            if (closesAfterWrites) {
                close();
            }
        } catch (IOException e) {
            onPeerClosed(true);
        }
    }

    private void writeOneByte(ByteBuffer first) throws IOException {
        ByteBuffer oneByte = first.hasRemaining() ? first.slice(first.position(), 1) : EMPTY;
        int count = connection.getSinkChannel().write(oneByte);
        first.position(first.position() + count);
        if (!first.hasRemaining()) {
            unwritten.poll();
        }
        awaitsByteInterval = true;
        runAfter(byteInterval, () -> {
            awaitsByteInterval = false;
            flush();
        });
    }

    private void onPeerClosed(boolean reset) {
        if (!closed) {
            close();
            listener.onClosed(reset);
        }
    }

    /** Closes the connection without a reset; unwritten bytes are discarded. */
    public void close() {
        if (!closed) {
            closed = true;
            unwritten.clear();
            IoUtils.safeClose(connection);
        }
    }

    /** Closes the connection with a reset. */
    public void reset() {
        if (!closed) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                // The peer has closed it already.
            }
            close();
        }
    }
}
