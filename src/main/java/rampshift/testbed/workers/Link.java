package rampshift.testbed.workers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Span;

/**
 * The network link from one dispatcher to one worker: a listening address that only this dispatcher knows,
 * and all connections to it. The address identifies the dispatcher that sent a request, and allows one link
 * to be cut while others work. Used on the I/O thread only.
 */
final class Link {
    private static final int BACKLOG = 511;
    /** The shortest accept queue that the kernel allows. */
    private static final int MIN_BACKLOG = 1;
    /** The number of connections that fill the shortest accept queue. */
    private static final int FILLER_CONNECTION_COUNT = 3;
    private static final int MAX_BIND_RETRIES = 1000;
    private static final long BIND_RETRY_INTERVAL_MS = 1;

    private final int dispatcher;
    private final XnioWorker ioWorker;
    private final Span delay;
    private final BiConsumer<Link, StreamConnection> onAccepted;
    private final Set<FaultyConnection> connections = new LinkedHashSet<>();
    private final List<SocketChannel> fillerConnections = new ArrayList<>();
    private final InetSocketAddress address;
    private AcceptingChannel<StreamConnection> server;
    /** Counts how often the server was closed; a bind retry that was scheduled before sees this and stops. */
    private int generation;
    private boolean cut;
    private boolean shutDown;

    /**
     * Opens a link at any free port on 127.0.0.1.
     *
     * @param dispatcher the index of the dispatcher
     * @param ioWorker its first I/O thread serves the link
     * @param delay the delay of bytes in each direction
     * @param onAccepted receives each new connection
     * @throws IOException if the port cannot be opened
     */
    Link(int dispatcher, XnioWorker ioWorker, Span delay, BiConsumer<Link, StreamConnection> onAccepted)
            throws IOException {
        this.dispatcher = dispatcher;
        this.ioWorker = ioWorker;
        this.delay = delay;
        this.onAccepted = onAccepted;
        server = listen(LoopbackNetwork.address(0), BACKLOG);
        address = (InetSocketAddress) server.getLocalAddress();
        server.resumeAccepts();
    }

    /** Returns the index of the dispatcher. */
    int dispatcher() {
        return dispatcher;
    }

    /** Returns the port on 127.0.0.1 at which the dispatcher reaches the worker. */
    int port() {
        return address.getPort();
    }

    /** Returns the delay of bytes in each direction. */
    Span delay() {
        return delay;
    }

    /** Registers a connection, which is blocked while the link is cut and reset when it is shut down. */
    void addConnection(FaultyConnection connection) {
        connections.add(connection);
        connection.setBlocked(cut);
    }

    /** Unregisters a connection. */
    void removeConnection(FaultyConnection connection) {
        connections.remove(connection);
    }

    private AcceptingChannel<StreamConnection> listen(InetSocketAddress bindAddress, int backlog)
            throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> onConnection = this::accept;
        return ioWorker.createStreamConnectionServer(bindAddress, onConnection,
                OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, backlog).getMap());
    }

    private void accept(AcceptingChannel<StreamConnection> acceptor) {
        try {
            for (StreamConnection peer = acceptor.accept(); peer != null; peer = acceptor.accept()) {
                onAccepted.accept(this, peer);
            }
        } catch (IOException e) {
            // The server was closed in the meantime.
        }
    }

    /**
     * Cuts or restores the link. While it is cut, open connections carry no bytes but are not reset, and new
     * connections are not established.
     */
    void setCut(boolean cut) {
        if (this.cut == cut) {
            return;
        }
        this.cut = cut;
        for (FaultyConnection connection : new ArrayList<>(connections)) {
            connection.setBlocked(cut);
        }
        if (!shutDown) {
            rebind();
        }
    }

    /** Resets all connections and refuses new ones, as if the worker's process had ended. */
    void shutDown() {
        shutDown = true;
        closeServer();
        for (FaultyConnection connection : new ArrayList<>(connections)) {
            connection.reset();
        }
        connections.clear();
    }

    /** Accepts connections again after {@link #shutDown}, at the same address. */
    void reopen() {
        shutDown = false;
        rebind();
    }

    private void closeServer() {
        generation++;
        for (SocketChannel filler : fillerConnections) {
            IoUtils.safeClose(filler);
        }
        fillerConnections.clear();
        IoUtils.safeClose(server);
    }

    /**
     * Reopens the server for the current state, cut or not. The kernel establishes connections that the
     * server does not accept until the accept queue is full. A cut link therefore uses the shortest queue and
     * fills it with its own connections, so that the kernel drops further attempts, as in a real partition.
     */
    private void rebind() {
        closeServer();
        bind(generation, MAX_BIND_RETRIES);
    }

    private void bind(int boundGeneration, int retriesLeft) {
        if (boundGeneration != generation) {
            return;
        }
        try {
            server = listen(address, cut ? MIN_BACKLOG : BACKLOG);
            if (cut) {
                fillQueue();
            } else {
                server.resumeAccepts();
            }
        } catch (IOException e) {
            // The port stays in use until the selector has released the closed server.
            if (retriesLeft > 0) {
                ioWorker.getIoThread(0).executeAfter(() -> bind(boundGeneration, retriesLeft - 1),
                        BIND_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void fillQueue() throws IOException {
        for (int i = 0; i < FILLER_CONNECTION_COUNT; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            fillerConnections.add(filler);
        }
    }
}
