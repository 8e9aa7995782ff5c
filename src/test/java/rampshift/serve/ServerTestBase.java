package rampshift.serve;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestServer;

/** What stories of a whole dispatcher share: one dispatcher, and stand-ins that end with the story. */
abstract class ServerTestBase {
    final List<Closeable> open = new ArrayList<>();
    DispatcherServer node;
    /** Connections of clients that were accepted and wait for the story to hand them to the dispatcher. */
    private final LinkedBlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();

    @AfterEach
    void end() throws IOException {
        for (Closeable c : open) {
            c.close();
        }
        if (node != null) {
            new Thread(node::stop).start();
        }
    }

    TestServer worker(ServerScript script) throws IOException {
        TestServer peer = new TestServer(script);
        open.add(peer);
        return peer;
    }

    TestConnection client() throws IOException {
        TestConnection line = new TestConnection(node);
        open.add(line);
        return line;
    }

    long count(String name) throws IOException {
        try (TestConnection line = new TestConnection(node)) {
            String text = line.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n").read().text();
            return text.lines().filter(l -> l.startsWith(name + " "))
                    .mapToLong(l -> Long.parseLong(l.split(" ")[1])).findFirst().orElse(-1);
        }
    }

    /** Runs a step on the I/O thread, and waits for it. */
    <T> T onThread(Callable<T> step) throws Exception {
        FutureTask<T> task = new FutureTask<>(step);
        node.thread.execute(task);
        return task.get();
    }

    /** Keeps the calling thread busy for so long. */
    static void stand(int ms) {
        for (long end = System.nanoTime() + ms * 1_000_000L; System.nanoTime() < end;) {
            Thread.onSpinWait();
        }
    }

    /** A client whose small buffer holds next to nothing, and the dispatcher's end of its connection. */
    record Slow(TestConnection line, StreamConnection connection) {}

    Slow slow() throws Exception {
        ChannelListener<AcceptingChannel<StreamConnection>> listener = from -> {
            try {
                accepted.add(from.accept());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        };
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        AcceptingChannel<StreamConnection> door = onThread(() -> node.thread.getWorker()
                .createStreamConnectionServer(address, listener, OptionMap.EMPTY));
        open.add(door);
        door.resumeAccepts();
        Socket socket = new Socket();
        socket.setReceiveBufferSize(2048);
        socket.connect(door.getLocalAddress(InetSocketAddress.class));
        TestConnection line = new TestConnection(socket);
        open.add(line);
        return new Slow(line, accepted.take());
    }
}
