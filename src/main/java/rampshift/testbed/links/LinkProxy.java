package rampshift.testbed.links;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.wire.LoopbackNetwork;

/**
 * Relays datagrams and streams between dispatchers, with faults. Each ordered pair (A, B) of dispatchers has
 * an address: A sends to B at this address, and datagrams from B to A have it as their source. Each
 * dispatcher thus knows the others by addresses that no other dispatcher uses, and the two directions of a
 * link can have different faults. One thread owns all sockets.
 */
public final class LinkProxy implements Closeable {
    private static final int DATAGRAM_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_DATAGRAMS_PER_TURN = 16 * 1024;
    private static final int MAX_BIND_RETRIES = 50;

    private final InetSocketAddress[] dispatchers;
    private final LinkFaults[][] faults;
    private final DatagramChannel[][] datagramChannels;
    private final InetSocketAddress[][] addresses;
    private final List<StreamRelay> relays = new ArrayList<>();
    private final UniformRandomProvider random;
    private final ByteBuffer buffer = ByteBuffer.allocate(DATAGRAM_BUFFER_BYTES);
    private final SelectorLoop loop = new SelectorLoop("links");

    /**
     * Opens the links and starts to relay.
     *
     * @param dispatchers the addresses at which the dispatchers listen
     * @param random decides which datagrams are lost, delayed or duplicated
     */
    public LinkProxy(List<InetSocketAddress> dispatchers, UniformRandomProvider random) throws IOException {
        int count = dispatchers.size();
        this.dispatchers = dispatchers.toArray(new InetSocketAddress[0]);
        this.random = random;
        faults = new LinkFaults[count][count];
        datagramChannels = new DatagramChannel[count][count];
        addresses = new InetSocketAddress[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                faults[from][to] = new LinkFaults();
                if (from != to) {
                    open(from, to);
                }
            }
        }
        loop.start();
    }

    /**
     * Opens the sockets of one link. They share a port, which must be free for both datagrams and streams.
     */
    private void open(int from, int to) throws IOException {
        for (int retries = 0;; retries++) {
            DatagramChannel datagrams = DatagramChannel.open();
            ServerSocketChannel server = ServerSocketChannel.open();
            try {
                server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                server.bind(LoopbackNetwork.address(0));
                addresses[from][to] = (InetSocketAddress) server.getLocalAddress();
                datagrams.bind(addresses[from][to]);
                datagrams.configureBlocking(false);
                server.configureBlocking(false);
                loop.register(datagrams, SelectionKey.OP_READ, () -> relayDatagrams(from, to, datagrams));
                loop.register(server, SelectionKey.OP_ACCEPT, () -> accept(from, to, server));
                datagramChannels[from][to] = datagrams;
                return;
            } catch (IOException e) {
                datagrams.close();
                server.close();
                if (retries == MAX_BIND_RETRIES) {
                    throw e;
                }
            }
        }
    }

    /** Returns the address at which one dispatcher reaches another. */
    public InetSocketAddress address(int from, int to) {
        return addresses[from][to];
    }

    /** Changes the faults of a link, on the thread of the proxy. */
    public void changeFaults(int from, int to, Consumer<LinkFaults> change) {
        loop.execute(() -> {
            change.accept(faults[from][to]);
            relays.forEach(StreamRelay::applyCuts);
        });
    }

    private void relayDatagrams(int from, int to, DatagramChannel channel) {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_TURN; i++) {
                buffer.clear();
                if (channel.receive(buffer) == null) {
                    return;
                }
                byte[] bytes = Arrays.copyOf(buffer.array(), buffer.position());
                double nowMs = SelectorLoop.nowMs();
                for (double delayMs : faults[from][to].datagramDelaysMs(nowMs, bytes.length, random)) {
                    loop.runAfter(delayMs, () -> deliver(from, to, bytes));
                }
            }
        } catch (IOException e) {
            // An earlier datagram was refused because no process listens at its destination.
        }
    }

    /** Sends a datagram from the address by which the receiver knows the sender. */
    private void deliver(int from, int to, byte[] bytes) {
        try {
            datagramChannels[to][from].send(ByteBuffer.wrap(bytes), dispatchers[to]);
        } catch (IOException e) {
            // The datagram is lost, which the protocol of the dispatchers tolerates.
        }
    }

    private void accept(int from, int to, ServerSocketChannel server) {
        try {
            SocketChannel downstream = server.accept();
            if (downstream == null) {
                return;
            }
            if (faults[from][to].isCut() || faults[to][from].isCut()) {
                relays.add(createRelay(from, to, downstream, null));
                return;
            }
            SocketChannel upstream = SocketChannel.open();
            upstream.configureBlocking(false);
            StreamRelay relay = createRelay(from, to, downstream, upstream);
            relays.add(relay);
            if (upstream.connect(dispatchers[to])) {
                relay.onConnected();
            } else {
                loop.register(upstream, SelectionKey.OP_CONNECT, relay::onConnected);
            }
        } catch (IOException e) {
            // The connection failed; the dispatcher that opened the stream sees it close.
        }
    }

    private StreamRelay createRelay(int from, int to, SocketChannel downstream, SocketChannel upstream)
            throws IOException {
        return new StreamRelay(loop, downstream, upstream, faults[from][to], faults[to][from],
                relays::remove);
    }

    @Override
    public void close() throws IOException {
        loop.close();
        new ArrayList<>(relays).forEach(StreamRelay::end);
    }
}
