package rampshift.serve;

import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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
import rampshift.settings.Configuration;

/**
 * Base class of the tests of a whole dispatcher: one dispatcher, and peers that are closed after the test.
 */
abstract class ServerTestBase {
    static final String SMALL_LIMITS = "{\"memory_mb\":192,\"sockets\":256}";

    final List<Closeable> closeables = new ArrayList<>();
    DispatcherServer node;
    /** Accepted client connections that the test has not passed to the dispatcher yet. */
    private final LinkedBlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();

    @AfterEach
    void end() throws IOException {
        for (Closeable closeable : closeables) {
            closeable.close();
        }
        if (node != null) {
            new Thread(node::stop).start();
        }
    }

    /** Starts a dispatcher with these workers and without a discovery agent, and waits until it is ready. */
    void startServer(String... entries) throws Exception {
        node = node(null, list(true, entries), SMALL_LIMITS);
    }

    static Configuration parse(String json) throws IOException {
        return Configuration.read(json.getBytes(StandardCharsets.UTF_8));
    }

    TestServer worker(ServerScript script) throws IOException {
        TestServer peer = new TestServer(script);
        closeables.add(peer);
        return peer;
    }

    /** Returns a worker that finishes each task at once. */
    TestServer finishingWorker() throws IOException {
        return worker((task, connection) -> connection.respondDone(task, "ok"));
    }

    static void respond(TestConnection connection, String body) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    TestConnection client() throws IOException {
        TestConnection connection = new TestConnection(node);
        closeables.add(connection);
        return connection;
    }

    /** Returns the status of the readiness page. */
    int readyStatus(TestConnection client) throws IOException {
        return client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status();
    }

    /** Returns the value of a counter on the page of counters; -1 if it is absent. */
    long count(String name) throws IOException {
        try (TestConnection connection = new TestConnection(node)) {
            String text = connection.write("GET /counters HTTP/1.1\r\nHost: a\r\n\r\n").read().text();
            String prefix = name + " ";
            return text.lines().filter(row -> row.startsWith(prefix))
                    .mapToLong(row -> Long.parseLong(row.substring(prefix.length()))).findFirst().orElse(-1);
        }
    }

    /** Runs a step on the I/O thread, and waits for it. */
    <T> T onThread(Callable<T> step) throws Exception {
        FutureTask<T> task = new FutureTask<>(step);
        node.thread.execute(task);
        return task.get();
    }

    /** Keeps the calling thread busy for a time. */
    static void busyWait(int millis) {
        for (long end = System.nanoTime() + millis * 1_000_000L; System.nanoTime() < end;) {
            Thread.onSpinWait();
        }
    }

    /** A client with a small receive buffer, and the dispatcher's end of its connection. */
    record SlowClient(TestConnection clientEnd, StreamConnection serverEnd) {}

    SlowClient slowClient() throws Exception {
        ChannelListener<AcceptingChannel<StreamConnection>> listener = from -> {
            try {
                accepted.add(from.accept());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        };
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        AcceptingChannel<StreamConnection> acceptingChannel = onThread(() -> node.thread.getWorker()
                .createStreamConnectionServer(address, listener, OptionMap.EMPTY));
        closeables.add(acceptingChannel);
        acceptingChannel.resumeAccepts();
        Socket socket = new Socket();
        socket.setReceiveBufferSize(2048);
        socket.connect(acceptingChannel.getLocalAddress(InetSocketAddress.class));
        TestConnection connection = new TestConnection(socket);
        closeables.add(connection);
        return new SlowClient(connection, accepted.take());
    }
}
