package rampshift.connections;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import rampshift.time.Span;

/**
 * A client connection to a worker or to the discovery service: HTTP/1.1, one exchange at a time, without
 * retries. Must be used on the I/O thread only. The object that dialed the connection owns it and releases it
 * with {@link #close()}.
 *
 * <p>Undertow's client is not used here: it can't cancel a connect, and it doesn't report when the last
 * byte of a request was written, which decides whether a task may have run (docs/design.md).
 */
public final class HttpConnection {
    /** The limit of bytes read per readiness event, so that an endless response does not block the thread. */
    static final int MAX_BYTES_PER_READ_EVENT = 128 * 1024;
    /** The limit of bytes read per {@link #poll()}: about the size of the longest accepted endpoint list. */
    static final int MAX_BYTES_PER_POLL = 2 * 1024 * 1024;
    private static final int NANOS_PER_MICRO = 1000;

    private final Dialer dialer;
    private final StreamConnection channel;
    private final RequestWriter writer;
    private final ResponseReader reader = new ResponseReader();
    /** The listener of the exchange in progress; null while idle. */
    private ExchangeListener listener;
    private boolean requestWritten;
    private long requestWrittenNanos;
    private long lastReadNanos;
    private boolean responseStarted;
    private Span timeToFirstByte = Span.ZERO;
    private boolean persistent = true;
    private boolean closed;
    private Runnable idleCloseHandler;

    HttpConnection(Dialer dialer, StreamConnection channel) {
        this.dialer = dialer;
        this.channel = channel;
        channel.getSourceChannel().setReadListener(ignored -> read());
        writer = new RequestWriter(dialer.thread, channel, new WriteEvents());
        channel.getSourceChannel().resumeReads();
    }

    /** Sets a handler that is run once if the connection fails or the peer closes it while it is idle. */
    public void onIdleClose(Runnable handler) {
        idleCloseHandler = handler;
    }

    /** Returns whether another exchange may be started: the connection is open, persistent and idle. */
    public boolean isReusable() {
        return !closed && persistent && listener == null;
    }

    /**
     * Reads pending input of an idle connection, and closes it at the end of the stream or if bytes have
     * arrived that belong to no request: either may be unread while the I/O thread is busy. Must not be
     * called during an exchange.
     *
     * @return whether the connection is still open and may be reused
     */
    public boolean verifyOpen() {
        if (!isReusable()) {
            return false;
        }
        try {
            int count = channel.getSourceChannel().read(dialer.pollBuffer.clear());
            if (count != 0) {
                fail(count < 0 ? "closed by the peer" : "bytes that belong to no request");
            }
        } catch (IOException e) {
            fail("read failed: " + e.getMessage());
        }
        return !closed;
    }

    /** Starts an exchange: writes the whole request at once and reads one response. */
    public void exchange(ExchangeListener exchangeListener, ByteBuffer... request) {
        exchange(exchangeListener, Span.ZERO, () -> request);
    }

    /**
     * Starts an exchange in which the last byte of the request is written later than the others. If the peer
     * has already closed the connection, its reset arrives before that byte is written, and it is known that
     * the peer has not processed the request.
     *
     * @param exchangeListener receives the events of the exchange
     * @param lastByteDelay the delay of the last byte after the others; zero to write it with them
     * @param request creates the request; called when the request may be written, since it contains the
     *     remaining time
     */
    public void exchange(ExchangeListener exchangeListener, Span lastByteDelay,
            Supplier<ByteBuffer[]> request) {
        listener = exchangeListener;
        if (!listener.mayWriteFirstByte()) {
            listener = null;
            return;
        }
        ByteBuffer[] buffers = request.get();
        requestWritten = false;
        responseStarted = false;
        timeToFirstByte = Span.ZERO;
        reader.begin();
        writer.start(buffers, lastByteDelay);
    }

    /**
     * Returns the time from the last byte of the request to the first byte of the response; zero until that
     * byte has arrived.
     */
    public Span timeToFirstByte() {
        return timeToFirstByte;
    }

    /** Returns the time since bytes of the response were last read, or since the request was written. */
    public Span timeSinceLastRead() {
        return microsSince(lastReadNanos);
    }

    private static Span microsSince(long nanos) {
        return new Span((System.nanoTime() - nanos) / NANOS_PER_MICRO);
    }

    /**
     * Reads the pending input of the response now, without waiting for the next readiness event. May be
     * called while another connection is being read, since it uses a separate buffer.
     */
    public void poll() {
        if (listener != null && requestWritten) {
            read(dialer.pollBuffer, new byte[dialer.pollBuffer.capacity()], MAX_BYTES_PER_POLL);
        }
    }

    private void read() {
        read(dialer.readBuffer, dialer.readBytes, MAX_BYTES_PER_READ_EVENT);
    }

    /**
     * Reads until no input is left or the limit is reached. The selector reports input beyond the limit
     * again.
     */
    private void read(ByteBuffer buffer, byte[] bytes, int maxBytes) {
        try {
            int total = 0;
            while (!closed && total < maxBytes) {
                buffer.clear();
                int count = channel.getSourceChannel().read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    onEndOfStream();
                    return;
                }
                total += count;
                buffer.flip().get(bytes, 0, count);
                onBytes(bytes, count);
            }
        } catch (IOException e) {
            fail("read failed: " + e.getMessage());
        }
    }

    private void onBytes(byte[] bytes, int count) {
        lastReadNanos = System.nanoTime();
        if (!responseStarted && requestWritten) {
            responseStarted = true;
            timeToFirstByte = microsSince(requestWrittenNanos);
        }
        if (listener == null) {
            fail("bytes that belong to no request");
            return;
        }
        if (!requestWritten) {
            fail("a response before the whole request was written");
            return;
        }
        try {
            int consumed = reader.read(bytes, 0, count, listener);
            if (closed) {
                return;
            }
            if (!reader.isComplete()) {
                listener.onMemoryHeld(reader.heldBytes());
                return;
            }
            // Bytes after the response leave the connection in an unknown state.
            persistent = consumed == count && reader.isPersistent();
            complete();
        } catch (MalformedResponseException e) {
            fail("malformed response: " + e.getMessage());
        }
    }

    private void onEndOfStream() {
        if (listener != null && reader.isCompleteAtClose()) {
            persistent = false;
            complete();
        } else {
            fail("closed by the peer");
        }
    }

    private void complete() {
        ExchangeListener completed = listener;
        listener = null;
        writer.cancel();
        if (!persistent) {
            close();
        }
        completed.onComplete();
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        ExchangeListener failed = listener;
        close();
        if (failed != null) {
            failed.onFailure(reason);
        } else if (idleCloseHandler != null) {
            idleCloseHandler.run();
        }
    }

    /** Closes the connection and drops the exchange in progress, if any, without further events. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        persistent = false;
        reader.stop();
        listener = null;
        writer.cancel();
        dialer.onClosed();
        IoUtils.safeClose(channel);
    }

    /** Passes the events of the writer to the exchange in progress. */
    private final class WriteEvents implements RequestWriter.Listener {
        @Override
        public boolean mayWriteLastByte() {
            return listener.mayWriteLastByte();
        }

        @Override
        public void onRequestWritten() {
            requestWritten = true;
            requestWrittenNanos = System.nanoTime();
            lastReadNanos = requestWrittenNanos;
            listener.onRequestWritten();
        }

        @Override
        public void onWriteFailure(IOException cause) {
            fail("write failed: " + cause.getMessage());
        }
    }
}
