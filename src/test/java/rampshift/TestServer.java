package rampshift;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** An emulated worker, discovery agent or dispatcher on loopback, with a thread for each connection. */
public final class TestServer implements Closeable {
    private static final int BACKLOG = 50;

    private final ServerSocket socket;
    private final ServerScript script;
    /** All messages, in the order in which they were received. */
    public final List<HttpMessage> received = Collections.synchronizedList(new ArrayList<>());
    /** The connections that have ended. */
    public final List<TestConnection> ended = Collections.synchronizedList(new ArrayList<>());
    /** All accepted connections. */
    public final List<TestConnection> connections = Collections.synchronizedList(new ArrayList<>());

    /** Starts the server on a free port. */
    public TestServer(ServerScript script) throws IOException {
        this(0, script);
    }

    private TestServer(int port, ServerScript script) throws IOException {
        this.script = script;
        socket = new ServerSocket(port, BACKLOG, InetAddress.getByName("127.0.0.1"));
        startThread(this::accept);
    }

    /** Starts the server on a given port. */
    public static TestServer at(int port, ServerScript script) throws IOException {
        return new TestServer(port, script);
    }

    private void accept() throws IOException {
        while (true) {
            TestConnection connection = new TestConnection(socket.accept());
            connections.add(connection);
            startThread(() -> serve(connection));
        }
    }

    private void serve(TestConnection connection) throws Exception {
        try {
            while (true) {
                HttpMessage message = connection.read();
                received.add(message);
                script.handle(message, connection);
            }
        } finally {
            ended.add(connection);
            connection.close();
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void startThread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The server or the connection was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return socket.getLocalPort();
    }

    /** Returns the entry of the server in an endpoint list, as a worker of zone a, kind m and cell 1. */
    public String entry(String uid, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port()
                + "\",\"az\":\"a\",\"model\":\"m\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":4.0,\"boot_ms\":0}";
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (TestConnection connection : new ArrayList<>(connections)) {
            connection.close();
        }
    }
}
