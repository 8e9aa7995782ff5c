package rampshift.testbed.clients;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.time.Span;

/** Opens connections to dispatchers on the I/O thread. */
final class ClientDialer {
    private static final Span CONNECT_TIMEOUT = Span.ofMillis(3000);
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioIoThread thread;

    ClientDialer(XnioIoThread thread) {
        this.thread = thread;
    }

    /**
     * Opens a connection. Exactly one of the two callbacks is called, on the I/O thread.
     *
     * @param address the address to connect to
     * @param onConnected receives the connection, and must close it
     * @param onUnreachable called if the connection was refused or not open within 3 s
     */
    void dial(InetSocketAddress address, Consumer<StreamConnection> onConnected, Runnable onUnreachable) {
        new Dial(onConnected, onUnreachable).start(address);
    }

    /** One connection that is being opened. */
    private final class Dial {
        private final Consumer<StreamConnection> onConnected;
        private final Runnable onUnreachable;
        private boolean ended;

        Dial(Consumer<StreamConnection> onConnected, Runnable onUnreachable) {
            this.onConnected = onConnected;
            this.onUnreachable = onUnreachable;
        }

        void start(InetSocketAddress address) {
            IoFuture<StreamConnection> future =
                    thread.openStreamConnection(address, this::connected, OPTIONS);
            XnioExecutor.Key timer = IoTimers.runAfter(thread, CONNECT_TIMEOUT, () -> timedOut(future));
            future.addNotifier((completed, attachment) -> {
                thread.execute(timer::remove);
                if (completed.getStatus() == IoFuture.Status.FAILED) {
                    thread.execute(this::failed);
                }
            }, null);
        }

        private void connected(StreamConnection connection) {
            if (ended) {
                IoUtils.safeClose(connection);
                return;
            }
            ended = true;
            onConnected.accept(connection);
        }

        private void timedOut(IoFuture<StreamConnection> future) {
            if (!ended) {
                ended = true;
                future.cancel();
                onUnreachable.run();
            }
        }

        private void failed() {
            if (!ended) {
                ended = true;
                onUnreachable.run();
            }
        }
    }
}
