package rampshift.testbed.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One end of a connection, with what a network may do to it: bytes are held back, come late, or come one by
 * one.
 * Owned by one I/O thread; whoever holds it closes it, and is told once when the other side has.
 */
public final class FaultyConnection {
    private static final int PIECE = 16 * 1024;
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    /** Who is told what comes. */
    public interface Told {
        void bytes(byte[] bytes, int count);

        /** It has ended, by the other side; not told after a close of our own. */
        void ended(boolean reset);
    }

    private final StreamConnection connection;
    private final XnioIoThread thread;
    private final Told told;
    private final ByteBuffer in = ByteBuffer.allocate(PIECE);
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private Span delay = Span.ZERO;
    private Span drip = Span.ZERO;
    private boolean held;
    private Moment heldFrom;
    private Moment unreadFrom;      // not null while what came since then is read off
    private boolean dripping;
    private boolean closed;
    private boolean closeWhenWritten;

    public FaultyConnection(StreamConnection connection, XnioIoThread thread, Told told) {
        this.connection = connection;
        this.thread = thread;
        this.told = told;
        connection.getSourceChannel().setReadListener(c -> readable());
        connection.getSinkChannel().setWriteListener(c -> flush());
    }

    /** Begins to read. */
    public FaultyConnection start() {
        if (!held) {
            connection.getSourceChannel().wakeupReads();
        }
        return this;
    }

    /** Every byte comes and goes so much later, one way. */
    public void delay(Span span) {
        delay = span;
    }

    /** What is written from now on goes byte by byte, so far apart; ZERO: at once. */
    public void drip(Span apart) {
        drip = apart;
    }

    /** Nothing comes through and nothing is reset, until it is released. */
    public void hold(boolean hold) {
        heldFrom = hold && !held ? EventClock.now() : heldFrom;
        unreadFrom = hold ? null : heldFrom;
        held = hold;
        if (closed) {
            return;
        }
        if (hold) {
            connection.getSourceChannel().suspendReads();
            connection.getSinkChannel().suspendWrites();
        } else {
            connection.getSourceChannel().wakeupReads();
            flush();
        }
    }

    /**
     * When the bytes that are told of now may have been written, at the earliest: a cut line holds what came
     * in it.
     */
    public Moment earliest() {
        return unreadFrom == null ? EventClock.now() : unreadFrom;
    }

    public boolean closed() {
        return closed;
    }

    private void readable() {
        try {
            while (!closed && !held) {
                in.clear();
                int count = connection.getSourceChannel().read(in);
                if (count == 0) {
                    unreadFrom = null;
                    connection.getSourceChannel().resumeReads();
                    return;
                }
                if (count < 0) {
                    later(() -> over(false));
                    connection.getSourceChannel().suspendReads();
                    return;
                }
                if (delay.micros() == 0) {
                    told.bytes(in.array(), count);
                } else {
                    byte[] copy = java.util.Arrays.copyOf(in.array(), count);
                    later(() -> told.bytes(copy, copy.length));
                }
            }
        } catch (IOException e) {
            over(true);
        }
    }

    private void later(Runnable what) {
        if (delay.micros() == 0) {
            what.run();
        } else {
            thread.executeAfter(() -> {
                if (!closed) {
                    what.run();
                }
            }, Math.max(1, Math.round(delay.millis())), TimeUnit.MILLISECONDS);
        }
    }

    public void write(String text) {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    public void write(byte[] bytes) {
        later(() -> {
            out.add(ByteBuffer.wrap(bytes));
            flush();
        });
    }

    /** Ends it once all that was written has gone. */
    public void closeWhenWritten() {
        later(() -> {
            closeWhenWritten = true;
            flush();
        });
    }

    private void flush() {
        if (closed || held || dripping) {
            return;
        }
        try {
            while (!out.isEmpty()) {
                ByteBuffer first = out.peek();
                if (drip.micros() > 0) {
                    dripOne(first);
                    return;
                }
                if (first.hasRemaining() && connection.getSinkChannel().write(first) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
                if (!first.hasRemaining()) {
                    out.poll();
                }
            }
            connection.getSinkChannel().suspendWrites();
            if (closeWhenWritten) {
                close();
            }
        } catch (IOException e) {
            over(true);
        }
    }

    private void dripOne(ByteBuffer first) throws IOException {
        ByteBuffer one = first.hasRemaining() ? first.slice(first.position(), 1) : NOTHING;
        int count = connection.getSinkChannel().write(one);
        first.position(first.position() + count);
        if (!first.hasRemaining()) {
            out.poll();
        }
        dripping = true;
        thread.executeAfter(() -> {
            dripping = false;
            flush();
        }, Math.max(1, Math.round(drip.millis())), TimeUnit.MILLISECONDS);
    }

    private void over(boolean reset) {
        if (!closed) {
            close();
            told.ended(reset);
        }
    }

    /** Ends it in order. What was not written is lost. */
    public void close() {
        if (!closed) {
            closed = true;
            out.clear();
            IoUtils.safeClose(connection);
        }
    }

    /** Ends it with a reset. */
    public void reset() {
        if (!closed) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                // Its other side has ended it already.
            }
            close();
        }
    }
}
