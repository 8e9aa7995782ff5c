package rampshift.connections;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.xnio.Buffers;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One connection to a worker or to discovery: HTTP/1.1, one exchange at a time, never resent. It is owned
 * by whoever dialed it, and given back by {@link #close()} alone.
 *
 * Undertow's client is not used here: it cannot call a connect off, and does not tell when the last byte of
 * an exchange was written, which decides whether a task may have run (docs/design.md).
 */
public final class HttpConnection {
    private final Dialer dialer;
    private final StreamConnection channel;
    private final ResponseReader reader = new ResponseReader();
    private ByteBuffer[] toWrite;
    private boolean written;
    private ByteBuffer lastByte;
    private Span hold;
    private IoTimer timer;
    private long writtenAt;
    private long readAt;
    private Span answeredAfter = Span.ZERO;
    private ExchangeListener heard;
    private boolean lasting = true;
    private boolean closed;
    /** Since when it has been idle; kept for its owner. */
    public Moment idleSince;
    /** Called once if it ends while no exchange is on. */
    Runnable onEnd;

    HttpConnection(Dialer dialer, StreamConnection channel) {
        this.dialer = dialer;
        this.channel = channel;
        channel.getSourceChannel().setReadListener(c -> readable());
        channel.getSinkChannel().setWriteListener(c -> writable());
        channel.getSourceChannel().resumeReads();
    }

    public void onIdleClose(Runnable told) {
        onEnd = told;
    }

    /** Whether another exchange may be tried on it. */
    public boolean isReusable() {
        return !closed && lasting && heard == null;
    }

    /**
     * Whether it is still open, by what lies unread: its end, or bytes that nobody asked for, may have come
     * while the
     * thread was at something else. To be asked while no exchange is on.
     */
    public boolean verifyOpen() {
        if (!isReusable()) {
            return false;
        }
        try {
            int count = channel.getSourceChannel().read(dialer.lookBuffer.clear());
            if (count != 0) {
                broken(count < 0 ? "ended by the other side" : "bytes that nobody asked for");
            }
        } catch (IOException e) {
            broken("reading: " + e.getMessage());
        }
        return !closed;
    }

    /** Writes it all and reads one answer. */
    public void exchange(ExchangeListener heard, ByteBuffer... message) {
        exchange(heard, Span.ZERO, () -> message);
    }

    /**
     * The same, but the last byte waits for so long after the others. A connection that the other side no
     * longer wants is reset by then, and it is known that nothing ran. The message is asked for once it may
     * be written, since it tells how much time is left.
     */
    public void exchange(ExchangeListener heard, Span hold, Supplier<ByteBuffer[]> message) {
        this.heard = heard;
        if (!heard.mayWriteFirstByte()) {
            this.heard = null;
            return;
        }
        toWrite = message.get();
        written = false;
        answeredAfter = Span.ZERO;
        reader.begin();
        if (hold.micros() > 0) {
            ByteBuffer end = toWrite[toWrite.length - 1];
            for (int i = toWrite.length - 1; !end.hasRemaining(); i--) {
                end = toWrite[i];
            }
            lastByte = ByteBuffer.wrap(new byte[]{end.get(end.limit() - 1)});
            end.limit(end.limit() - 1);
            this.hold = hold;
        }
        writable();
    }

    /** From the last byte written to the first of the answer; ZERO before. */
    public Span timeToFirstByte() {
        return answeredAfter;
    }

    private void writable() {
        if (toWrite == null) {
            channel.getSinkChannel().suspendWrites();
            return;
        }
        try {
            // All of them are looked at: with the last one alone, tasks without a body were never written.
            while (Buffers.hasRemaining(toWrite)) {
                if (channel.getSinkChannel().write(toWrite, 0, toWrite.length) == 0) {
                    channel.getSinkChannel().resumeWrites();
                    return;
                }
            }
        } catch (IOException e) {
            broken("writing: " + e.getMessage());
            return;
        }
        toWrite = null;
        channel.getSinkChannel().suspendWrites();
        if (lastByte != null) {
            timer = IoTimer.notBefore(dialer.thread, hold, this::release);
            return;
        }
        written = true;
        writtenAt = System.nanoTime();
        readAt = writtenAt;
        heard.onRequestWritten();
    }

    private void release() {
        timer = null;
        if (!heard.mayWriteLastByte()) {
            return;     // it has given this connection back
        }
        toWrite = new ByteBuffer[]{lastByte};
        lastByte = null;
        writable();
    }

    /**
     * Reads what has come of an answer now, instead of when the thread finds the time. May be called while
     * another
     * connection is being read: it has a buffer of its own.
     */
    public void poll() {
        if (heard != null && written) {
            readable(dialer.lookBuffer, new byte[dialer.lookBuffer.capacity()]);
        }
    }

    private void readable() {
        readable(dialer.buffer, dialer.bytes);
    }

    private void readable(ByteBuffer buffer, byte[] bytes) {
        try {
            while (!closed) {
                buffer.clear();
                int count = channel.getSourceChannel().read(buffer);
                if (count == 0) {
                    return;
                }
                if (count < 0) {
                    endOfStream();
                    return;
                }
                buffer.flip().get(bytes, 0, count);
                took(bytes, count);
            }
        } catch (IOException e) {
            broken("reading: " + e.getMessage());
        }
    }

    /** How long ago the last bytes were read of the answer that is coming, or its request was written. */
    public Span timeSinceLastRead() {
        return new Span((System.nanoTime() - readAt) / 1000);
    }

    private void took(byte[] bytes, int count) {
        readAt = System.nanoTime();
        if (answeredAfter == Span.ZERO && written) {
            answeredAfter = new Span((System.nanoTime() - writtenAt) / 1000);
        }
        if (heard == null) {
            broken("bytes that nobody asked for");
            return;
        }
        if (!written) {
            broken("answered before the whole request was written");
            return;
        }
        try {
            int used = reader.read(bytes, 0, count, heard);
            if (closed || !reader.done()) {
                return;
            }
            // More than one answer leaves it in no known state.
            lasting = used == count && reader.lasting();
            ended();
        } catch (ResponseReader.Odd e) {
            broken("answered with " + e.getMessage());
        }
    }

    private void endOfStream() {
        if (heard != null && reader.endOfStream()) {
            lasting = false;
            ended();
        } else {
            broken("ended by the other side");
        }
    }

    private void ended() {
        ExchangeListener told = heard;
        heard = null;
        toWrite = null;
        dropTimer();
        if (!lasting) {
            close();
        }
        told.onComplete();
    }

    private void broken(String why) {
        if (closed) {
            return;
        }
        ExchangeListener told = heard;
        close();
        if (told != null) {
            told.onFailure(why);
        } else if (onEnd != null) {
            onEnd.run();
        }
    }

    /** Ends it, with whatever is on it. Nothing more is told. */
    public void close() {
        if (!closed) {
            closed = true;
            reader.stop();
            lasting = false;
            heard = null;
            toWrite = null;
            dropTimer();
            dialer.open--;
            IoUtils.safeClose(channel);
        }
    }

    private void dropTimer() {
        lastByte = null;
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
