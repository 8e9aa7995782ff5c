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

/** Opens connections on the I/O thread, and owns the read buffers that they share. */
public final class Dialer {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int POLL_BUFFER_BYTES = 4 * 1024;
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    final XnioIoThread thread;
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    final byte[] readBytes = new byte[READ_BUFFER_BYTES];
    /** A buffer for reads that may occur while another connection reads through {@link #readBuffer}. */
    final ByteBuffer pollBuffer = ByteBuffer.allocateDirect(POLL_BUFFER_BYTES);
    private final ChannelOpener opener;
    private final ReadBarrier readBarrier;
    private int openCount;

    /** Opens a channel to an address and passes it to the listener on the I/O thread. */
    public interface ChannelOpener {
        /**
         * Starts to open a channel.
         *
         * @param address the address to connect to
         * @param listener called on the I/O thread with the open channel
         * @return the future of the channel, which can be canceled
         */
        IoFuture<StreamConnection> open(InetSocketAddress address,
                ChannelListener<StreamConnection> listener);
    }

    /** Receives the result of a dial: one of its methods is called once, unless the dial was canceled. */
    public interface DialListener {
        /** Called when the connection is open; the listener owns it from now on. */
        void onConnected(HttpConnection connection);

        /**
         * Called if the dial failed or timed out.
         *
         * @param reason the cause, for the log
         */
        void onUnreachable(String reason);
    }

    /** A dial in progress. It owns a timer and a connecting socket, and releases both when it ends. */
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
            // The timeout waits for the read barrier: with a plain timer, a dispatcher whose I/O thread was
            // delayed by more than the timeout failed every dial and retried each with a new dial, which
            // delayed the thread further, so that no task finished.
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
        this(thread, (address, listener) -> thread.openStreamConnection(address, listener, SOCKET_OPTIONS));
    }

    /** Creates a dialer that opens channels in another way. */
    public Dialer(XnioIoThread thread, ChannelOpener opener) {
        this.thread = thread;
        this.opener = opener;
        readBarrier = new ReadBarrier(thread);
    }

    /** Returns the barrier for the timeouts of exchanges, so that pending input is handled before them. */
    public ReadBarrier readBarrier() {
        return readBarrier;
    }

    /** Returns the number of open connections and of dials in progress. */
    public int openCount() {
        return openCount;
    }

    /** Called once by each connection when it is closed. */
    void onClosed() {
        openCount--;
    }

    /**
     * Starts to open a connection. The listener is never called before this method returns.
     *
     * @param address the address to connect to
     * @param timeout the time after which the dial fails
     * @param listener receives the result
     * @return the dial, which can be canceled
     */
    public Dial dial(InetSocketAddress address, Span timeout, DialListener listener) {
        Dial dial = new Dial(listener);
        dial.start(address, timeout);
        return dial;
    }
}
