package rampshift.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FailedIoFuture;
import org.xnio.FinishedIoFuture;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;

/** Opens connections over pipes within the process; the acceptor receives the other end. */
final class InProcessOpener implements Dialer.ChannelOpener {
    private final XnioIoThread thread;
    private final ChannelListener<StreamConnection> acceptor;

    InProcessOpener(XnioIoThread thread, ChannelListener<StreamConnection> acceptor) {
        this.thread = thread;
        this.acceptor = acceptor;
    }

    @Override
    public IoFuture<StreamConnection> open(InetSocketAddress to, ChannelListener<StreamConnection> opened) {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
            thread.execute(() -> {
                acceptor.handleEvent(pipe.getRightSide());
                opened.handleEvent(pipe.getLeftSide());
            });
            return new FinishedIoFuture<>(pipe.getLeftSide());
        } catch (IOException e) {
            return new FailedIoFuture<>(e);
        }
    }
}
