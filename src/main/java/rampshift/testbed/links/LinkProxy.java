package rampshift.testbed.links;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.wire.LoopbackNetwork;

/**
 * The ways between dispatchers. Each ordered pair has an address of its own, for datagrams and streams: where
 * the one
 * reaches the other, and from where the other hears the one. So each knows the others by addresses that only
 * it has,
 * and each direction can be troubled alone. One thread; it owns every socket here.
 */
public final class LinkProxy implements Closeable {
    private static final int PIECE = 16 * 1024;
    private static final int TRIES = 50;
    private static final double LONGEST_WRITE_MS = 200;

    private final int count;
    private final InetSocketAddress[] members;
    private final LinkFaults[][] ways;
    private final DatagramChannel[][] datagrams;
    private final ServerSocketChannel[][] servers;
    private final InetSocketAddress[][] addresses;
    private final List<Pipe> pipes = new ArrayList<>();
    private final UniformRandomProvider chance;
    private final Selector selector = Selector.open();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> orders = new ConcurrentLinkedQueue<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(PIECE);
    private final Thread thread;
    private volatile boolean closed;
    private long numbers;

    private record Due(double at, long number, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Between members that listen at these addresses. */
    public LinkProxy(List<InetSocketAddress> members, UniformRandomProvider chance) throws IOException {
        count = members.size();
        this.members = members.toArray(new InetSocketAddress[0]);
        this.chance = chance;
        ways = new LinkFaults[count][count];
        datagrams = new DatagramChannel[count][count];
        servers = new ServerSocketChannel[count][count];
        addresses = new InetSocketAddress[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                ways[from][to] = new LinkFaults();
                if (from != to) {
                    open(from, to);
                }
            }
        }
        thread = new Thread(this::run, "ways");
        thread.setDaemon(true);
        thread.start();
    }

    private void open(int from, int to) throws IOException {
        for (int i = 0;; i++) {
            DatagramChannel d = DatagramChannel.open();
            ServerSocketChannel s = ServerSocketChannel.open();
            try {
                s.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                s.bind(LoopbackNetwork.at(0));
                addresses[from][to] = (InetSocketAddress) s.getLocalAddress();
                d.bind(addresses[from][to]);
                d.configureBlocking(false);
                s.configureBlocking(false);
                Consumer<SelectionKey> took = key -> datagram(from, to, d);
                Consumer<SelectionKey> accepted = key -> accept(from, to, s);
                d.register(selector, SelectionKey.OP_READ, took);
                s.register(selector, SelectionKey.OP_ACCEPT, accepted);
                datagrams[from][to] = d;
                servers[from][to] = s;
                return;
            } catch (IOException e) {
                d.close();
                s.close();
                if (i == TRIES) {
                    throw e;
                }
            }
        }
    }

    /** Where the one finds the other. */
    public InetSocketAddress address(int from, int to) {
        return addresses[from][to];
    }

    /** Has something done to one way, on the thread that owns it. */
    public void change(int from, int to, Consumer<LinkFaults> change) {
        orders.add(() -> {
            change.accept(ways[from][to]);
            pipes.forEach(Pipe::look);
        });
        selector.wakeup();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        try {
            while (!closed) {
                for (Runnable order = orders.poll(); order != null; order = orders.poll()) {
                    order.run();
                }
                while (!due.isEmpty() && due.peek().at <= nowMs()) {
                    due.poll().what.run();
                }
                long wait = due.isEmpty() ? 1000 : Math.max(1, Math.round(due.peek().at - nowMs()));
                selector.select(key -> {
                    if (key.isValid()) {
                        @SuppressWarnings("unchecked")
                        Consumer<SelectionKey> what = (Consumer<SelectionKey>) key.attachment();
                        what.accept(key);
                    }
                }, wait);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void later(double ms, Runnable what) {
        if (ms <= 0) {
            what.run();
        } else {
            due.add(new Due(nowMs() + ms, ++numbers, what));
        }
    }

    private void datagram(int from, int to, DatagramChannel channel) {
        try {
            for (int i = 0; i < PIECE; i++) {
                buffer.clear();
                if (channel.receive(buffer) == null) {
                    return;
                }
                byte[] bytes = Arrays.copyOf(buffer.array(), buffer.position());
                for (double wait : ways[from][to].passes(nowMs(), bytes.length, chance)) {
                    later(wait, () -> hand(from, to, bytes));
                }
            }
        } catch (IOException e) {
            // An earlier one was refused: nobody listens there now.
        }
    }

    /** From the address by which its receiver knows its sender. */
    private void hand(int from, int to, byte[] bytes) {
        try {
            datagrams[to][from].send(ByteBuffer.wrap(bytes), members[to]);
        } catch (IOException e) {
            // Lost on the way, like any other.
        }
    }

    private void accept(int from, int to, ServerSocketChannel server) {
        try {
            SocketChannel near = server.accept();
            if (near == null) {
                return;
            }
            if (ways[from][to].isCut() || ways[to][from].isCut()) {
                pipes.add(new Pipe(from, to, near, null));   // held: it is neither refused nor answered
                return;
            }
            SocketChannel far = SocketChannel.open();
            far.configureBlocking(false);
            Pipe pipe = new Pipe(from, to, near, far);
            pipes.add(pipe);
            Consumer<SelectionKey> connected = key -> pipe.connected();
            if (far.connect(members[to])) {
                pipe.connected();
            } else {
                far.register(selector, SelectionKey.OP_CONNECT, connected);
            }
        } catch (IOException e) {
            // Refused: the near side sees an end.
        }
    }

    /** One stream, both directions. */
    private final class Pipe {
        private final int from;
        private final int to;
        private final SocketChannel near;
        private final SocketChannel far;
        private boolean over;

        Pipe(int from, int to, SocketChannel near, SocketChannel far) throws IOException {
            this.from = from;
            this.to = to;
            this.near = near;
            this.far = far;
            near.configureBlocking(false);
        }

        void connected() {
            try {
                far.finishConnect();
                Consumer<SelectionKey> there = key -> move(near, far, ways[from][to]);
                Consumer<SelectionKey> back = key -> move(far, near, ways[to][from]);
                near.register(selector, SelectionKey.OP_READ, there);
                far.register(selector, SelectionKey.OP_READ, back);
                look();
            } catch (IOException e) {
                end();
            }
        }

        /** What is cut is not read, so it waits in the sockets as on a silent line. */
        void look() {
            interest(near, ways[from][to].isCut());
            interest(far, ways[to][from].isCut());
        }

        private void interest(SocketChannel channel, boolean cut) {
            SelectionKey key = channel == null ? null : channel.keyFor(selector);
            if (key != null && key.isValid() && key.interestOps() != SelectionKey.OP_CONNECT) {
                key.interestOps(cut ? 0 : SelectionKey.OP_READ);
            }
        }

        private void move(SocketChannel in, SocketChannel out, LinkFaults way) {
            try {
                buffer.clear();
                int count = in.read(buffer);
                if (count < 0) {
                    later(way.streamWait(), this::end);
                    in.keyFor(selector).cancel();
                    return;
                }
                byte[] bytes = Arrays.copyOf(buffer.array(), count);
                later(way.streamWait(), () -> write(out, bytes));
            } catch (IOException e) {
                end();
            }
        }

        private void write(SocketChannel out, byte[] bytes) {
            try {
                ByteBuffer left = ByteBuffer.wrap(bytes);
                for (double end = nowMs() + LONGEST_WRITE_MS; left.hasRemaining() && !over;) {
                    if (out.write(left) == 0) {
                        // Loopback, and messages smaller than its buffers: only a stopped process lets them
                        // fill.
                        if (nowMs() > end) {
                            end();
                        }
                        Thread.onSpinWait();
                    }
                }
            } catch (IOException e) {
                end();
            }
        }

        private void end() {
            over = true;
            pipes.remove(this);
            try {
                near.close();
                if (far != null) {
                    far.close();
                }
            } catch (IOException e) {
                // It is gone either way.
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        for (Pipe pipe : new ArrayList<>(pipes)) {
            pipe.end();
        }
        selector.close();
    }
}
