package rampshift.membership.host;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The TCP socket of a member, and all streams to and from other members. Used on the I/O thread only.
 */
final class StreamPort implements Closeable {
    private static final int BACKLOG = 1024;

    private final XnioIoThread thread;
    private final int maxAccepted;
    private final UnaryOperator<byte[]> responder;
    private final AcceptingChannel<StreamConnection> server;
    private final Set<StreamExchange> exchanges = new LinkedHashSet<>();
    private boolean closed;

    /**
     * Binds the socket.
     *
     * @param maxAccepted the maximum number of open accepted streams; further ones wait in the backlog
     * @param responder   returns the answer to a request, or null to close the stream without an answer
     * @throws IOException if the socket can't be bound to the address
     */
    StreamPort(XnioWorker worker, XnioIoThread thread, InetSocketAddress listen, int maxAccepted,
            UnaryOperator<byte[]> responder) throws IOException {
        this.thread = thread;
        this.maxAccepted = maxAccepted;
        this.responder = responder;
        ChannelListener<AcceptingChannel<StreamConnection>> listener = this::accept;
        OptionMap options =
                OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG).set(Options.CONNECTION_HIGH_WATER, maxAccepted)
                        .set(Options.CONNECTION_LOW_WATER, maxAccepted - 1).getMap();
        server = worker.createStreamConnectionServer(listen, listener, options);
    }

    /** Starts accepting streams. */
    void resumeAccepts() {
        server.resumeAccepts();
    }

    /**
     * Sends a request over a new stream. Drops it if too many streams are open; the protocol retries.
     */
    void request(String address, byte[] request, Consumer<byte[]> onResponse) {
        if (exchanges.size() >= 2 * maxAccepted) {
            return;
        }
        UnaryOperator<byte[]> endAfterResponse = response -> {
            onResponse.accept(response);
            return null;
        };
        thread.openStreamConnection(MemberAddresses.parse(address),
                connection -> open(connection, request, endAfterResponse),
                OptionMap.create(Options.TCP_NODELAY, true));
    }

    private void accept(AcceptingChannel<StreamConnection> channel) {
        try {
            for (StreamConnection connection = channel.accept(); connection != null; connection =
                    channel.accept()) {
                open(connection, null, responder);
            }
        } catch (IOException e) {
            // The server is closed, or no file descriptors are left: the streams wait in the backlog.
        }
    }

    private void open(StreamConnection connection, byte[] request, UnaryOperator<byte[]> onMessage) {
        if (closed) {
            IoUtils.safeClose(connection);
            return;
        }
        StreamExchange exchange = new StreamExchange(connection, thread, onMessage, exchanges::remove);
        exchanges.add(exchange);
        exchange.start(request);
    }

    @Override
    public void close() {
        closed = true;
        IoUtils.safeClose(server);
        new ArrayList<>(exchanges).forEach(StreamExchange::close);
    }
}
