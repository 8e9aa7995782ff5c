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
import rampshift.time.Span;

/** Opens connections on the I/O thread. All of them read through its one buffer. */
public final class Dialer {
    private static final int BUFFER = 16 * 1024;
    private static final int LOOK_BUFFER = 4 * 1024;
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    final XnioIoThread thread;
    private final ChannelOpener opener;
    final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);
    final byte[] bytes = new byte[BUFFER];
    final ByteBuffer lookBuffer = ByteBuffer.allocateDirect(LOOK_BUFFER);
    int open;

    /** Opens a channel to an address, and hands it to the listener on the I/O thread. */
    public interface ChannelOpener {
        IoFuture<StreamConnection> open(InetSocketAddress to, ChannelListener<StreamConnection> opened);
    }

    /** Tells how a dial ended, once, unless it was called off. */
    public interface DialListener {
        void onConnected(HttpConnection connection);

        void onUnreachable(String why);
    }

    /** A dial under way: one timer and one half-open socket, both given back in {@link #over}. */
    public final class Dial {
        private final DialListener told;
        private IoFuture<StreamConnection> coming;
        private IoTimer timer;
        private boolean over;

        private Dial(DialListener told) {
            this.told = told;
        }

        private void start(InetSocketAddress to, Span timeout) {
            open++;
            coming = opener.open(to, this::opened);
            timer = IoTimer.in(thread, timeout, () -> fail("no connection in time"));
            coming.addNotifier((future, nothing) -> {
                if (future.getStatus() == IoFuture.Status.FAILED) {
                    IOException e = future.getException();
                    thread.execute(() -> fail(String.valueOf(e.getMessage())));
                }
            }, null);
        }

        private void opened(StreamConnection channel) {
            if (over) {
                IoUtils.safeClose(channel);
                return;
            }
            over();
            told.onConnected(new HttpConnection(Dialer.this, channel));
        }

        private void fail(String why) {
            if (!over) {
                cancel();
                told.onUnreachable(why);
            }
        }

        /** Stops waiting; nothing is told. */
        public void cancel() {
            if (!over) {
                over();
                open--;
                coming.cancel();
            }
        }

        private void over() {
            over = true;
            if (timer != null) {
                timer.cancel();
            }
        }
    }

    public Dialer(XnioIoThread thread) {
        this(thread, (to, opened) -> thread.openStreamConnection(to, opened, OPTIONS));
    }

    public Dialer(XnioIoThread thread, ChannelOpener opener) {
        this.thread = thread;
        this.opener = opener;
    }

    /** Connections and dials under way. */
    public int openCount() {
        return open;
    }

    /** Never tells before it returns. */
    public Dial dial(InetSocketAddress to, Span timeout, DialListener told) {
        Dial dial = new Dial(told);
        dial.start(to, timeout);
        return dial;
    }
}
