package rampshift.connections;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.time.IoTimer;
import rampshift.time.ReadBarrier;
import rampshift.time.Span;

/** Opens connections on the I/O thread and owns the buffers through which all of them read. */
public final class Dialer {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int POLL_BUFFER_BYTES = 4 * 1024;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    final XnioIoThread thread;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    final byte[] readBytes = new byte[READ_BUFFER_BYTES];
    /** For reads that may happen while another connection is reading through {@link #readBuffer}. */
    final ByteBuffer pollBuffer = ByteBuffer.allocateDirect(POLL_BUFFER_BYTES);
    private final ChannelOpener opener;
    private final ReadBarrier readBarrier;
    private int openCount;

    /** Opens a channel to an address and passes it to the listener on the I/O thread. */
    public interface ChannelOpener {
        /**
         * Starts to open a channel.
         *
         * @param address where to connect to
         * @param listener called on the I/O thread with the open channel
         * @return the attempt, which can be cancelled
         */
        IoFuture<StreamConnection> open(InetSocketAddress address,
                ChannelListener<StreamConnection> listener);
    }

    /** Receives the result of a dial: one call, unless the dial was cancelled. */
    public interface DialListener {
        /** The connection is open; it belongs to the listener from now on. */
        void onConnected(HttpConnection connection);

        /**
         * No connection could be made in time.
         *
         * @param reason what went wrong, for the log
         */
        void onUnreachable(String reason);
    }

    /** A dial in progress. It owns a timer and a half-open socket, and releases both when it ends. */
    public final class Dial {
        private final DialListener listener;
        private IoFuture<StreamConnection> channelFuture;
        private IoTimer timer;
        private boolean ended;

        private Dial(DialListener listener) {
            this.listener = listener;
        }

        private void start(InetSocketAddress address, Span timeout) {
            openCount++;
            channelFuture = opener.open(address, this::onOpened);
            // Failed by a timer alone, a dispatcher that was late for longer than this failed every dial,
            // repeated each with a new one and was later still: it finished nothing any more.
            timer = IoTimer.timeout(thread, timeout, readBarrier, () -> fail("connect timed out"));
            channelFuture.addNotifier((future, attachment) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    IOException cause = future.getException();
                    thread.execute(() -> fail(String.valueOf(cause.getMessage())));
                }
            }, null);
        }

        private void onOpened(StreamConnection channel) {
            if (ended) {
                IoUtils.safeClose(channel);
                return;
            }
            end();
            listener.onConnected(new HttpConnection(Dialer.this, channel));
        }

        private void fail(String reason) {
            if (!ended) {
                cancel();
                listener.onUnreachable(reason);
            }
        }

        /** Ends the dial without a call to its listener. Has no effect once the dial has ended. */
        public void cancel() {
            if (!ended) {
                end();
                openCount--;
                channelFuture.cancel();
            }
        }

        private void end() {
            ended = true;
            if (timer != null) {
                timer.cancel();
            }
        }
    }

    /** Creates a dialer that opens TCP connections. */
    public Dialer(XnioIoThread thread) {
        this(thread, (address, listener) -> thread.openStreamConnection(address, listener, OPTIONS));
    }

    /** Creates a dialer that opens channels in another way. */
    public Dialer(XnioIoThread thread, ChannelOpener opener) {
        this.thread = thread;
        this.opener = opener;
        readBarrier = new ReadBarrier(thread);
    }

    /** What a timeout of an exchange waits for, so that input that has arrived goes first. */
    public ReadBarrier readBarrier() {
        return readBarrier;
    }

    /** The number of open connections and of dials in progress. */
    public int openCount() {
        return openCount;
    }

    /** Called once by each connection that is closed. */
    void onClosed() {
        openCount--;
    }

    /**
     * Starts to open a connection. The listener is never called before this method returns.
     *
     * @param address where to connect to
     * @param timeout when to give up
     * @param listener receives the result
     * @return the dial, which can be cancelled
     */
    public Dial dial(InetSocketAddress address, Span timeout, DialListener listener) {
        Dial dial = new Dial(listener);
        dial.start(address, timeout);
        return dial;
    }
}
