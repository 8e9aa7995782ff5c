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
 * The way from one dispatcher to one worker: an address of its own, all connections to it, and what becomes
 * of
 * them. So it is known who sent what, and one way can be cut while others stay.
 */
final class Link {
    private static final int BACKLOG = 511;
    private static final int TRIES = 1000;          // a millisecond apart, to bind a port again

    final int dispatcher;
    private final XnioWorker worker;
    private final Span crossing;
    private final BiConsumer<Link, StreamConnection> opened;
    private final Set<FaultyConnection> lines = new LinkedHashSet<>();
    private final List<SocketChannel> fillers = new ArrayList<>();
    private InetSocketAddress address;
    private AcceptingChannel<StreamConnection> socket;
    private int generation;
    private boolean cut;
    private boolean shut;

    Link(int dispatcher, XnioWorker worker, Span crossing, BiConsumer<Link, StreamConnection> opened)
            throws IOException {
        this.dispatcher = dispatcher;
        this.worker = worker;
        this.crossing = crossing;
        this.opened = opened;
        address = LoopbackNetwork.address(0);
        socket = listen(BACKLOG);
        address = (InetSocketAddress) socket.getLocalAddress();
        socket.resumeAccepts();
    }

    int port() {
        return address.getPort();
    }

    Span crossing() {
        return crossing;
    }

    void add(FaultyConnection line) {
        lines.add(line);
        line.setBlocked(cut);
    }

    void remove(FaultyConnection line) {
        lines.remove(line);
    }

    private AcceptingChannel<StreamConnection> listen(int backlog) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        return worker.createStreamConnectionServer(address, accept, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, backlog).getMap());
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                opened.accept(this, c);
            }
        } catch (IOException e) {
            // The listener was closed while this was under way.
        }
    }

    /** Nothing comes through and nothing is reset: open connections fall silent, new ones never come up. */
    void cut(boolean on) {
        if (cut == on) {
            return;
        }
        cut = on;
        for (FaultyConnection line : new ArrayList<>(lines)) {
            line.setBlocked(on);
        }
        if (!shut) {
            rebind();
        }
    }

    /** The process is gone: connections are reset, new ones refused. */
    void shut() {
        shut = true;
        generation++;
        dropFillers();
        IoUtils.safeClose(socket);
        for (FaultyConnection line : new ArrayList<>(lines)) {
            line.reset();
        }
        lines.clear();
    }

    /** It is back, at the same address. */
    void open() {
        shut = false;
        rebind();
    }

    /**
     * A listener that nobody accepts on still completes connections, as many as its queue holds. So a cut one
     * has
     * the shortest queue there is, filled by ourselves; the kernel then drops what comes, as a cut would.
     */
    private void rebind() {
        int mine = ++generation;
        dropFillers();
        IoUtils.safeClose(socket);
        bind(mine, TRIES);
    }

    private void bind(int mine, int tries) {
        if (mine != generation) {
            return;
        }
        try {
            socket = listen(cut ? 1 : BACKLOG);
            if (cut) {
                for (int i = 0; i < 3; i++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(address);
                    fillers.add(filler);
                }
            } else {
                socket.resumeAccepts();
            }
        } catch (IOException e) {
            // The old one is given back by its selector a moment later.
            if (tries > 0) {
                worker.getIoThread(0).executeAfter(() -> bind(mine, tries - 1), 1, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void dropFillers() {
        for (SocketChannel filler : fillers) {
            IoUtils.safeClose(filler);
        }
        fillers.clear();
    }

    void close() {
        shut();
    }
}
