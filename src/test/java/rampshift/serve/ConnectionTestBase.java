package rampshift.serve;

import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import rampshift.TestConnection;
import rampshift.TestServer;

/**
 * What the tests of the connections of a whole dispatcher share: workers that hold an answer back, and steps
 * on the I/O thread. With these a test forces an order of events that is rare otherwise
 * (docs/rare-moments.md).
 */
abstract class ConnectionTestBase extends ServerTestBase {
    /** Enough descriptors for several hundred clients and workers. */
    static final String LIMITS = "{\"memory_mb\":192,\"sockets\":1024}";
    /** With these, 22 clients stay connected, and 2 more while room is made for them. */
    static final String FEW_DESCRIPTORS = "{\"memory_mb\":192,\"sockets\":104}";
    static final String IN_SERVICE = "in_service";
    /** A traffic type of idempotent tasks. */
    static final String IDEMPOTENT = "look";
    /** A traffic type of non-idempotent tasks. */
    static final String NON_IDEMPOTENT = "sell";
    /** The client closes its end of the connection. */
    static final String FIN = "fin";
    /** The client resets the connection. */
    static final String RST = "rst";
    static final String READY_REQUEST = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";

    /** A step of a test that may fail. */
    interface Step {
        void run() throws Exception;
    }

    /** An endpoint list of one worker that is in service. */
    static String listOf(TestServer worker) {
        return list(true, worker.entry("s-1", IN_SERVICE));
    }

    /** Starts a dispatcher that knows one worker and has no discovery agent, and waits until it is ready. */
    void startServer(TestServer worker) throws Exception {
        node = node(null, listOf(worker), LIMITS);
    }

    /** Starts a dispatcher as {@link #startServer} does; its list has the worker under that many ids. */
    void startServer(TestServer worker, int entryCount) throws Exception {
        String[] entries = IntStream.range(0, entryCount)
                .mapToObj(i -> worker.entry("s-" + i, IN_SERVICE)).toArray(String[]::new);
        node = node(null, list(true, entries), LIMITS);
    }

    /** A worker that begins a response to each task and never ends it. */
    TestServer holdingWorker() throws IOException {
        return worker((task, line) -> line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    /** A worker that finishes tasks with this result, once it is released. */
    TestServer workerHeldBy(CountDownLatch release, String result) throws IOException {
        return worker((task, line) -> {
            release.await();
            line.respondDone(task, result);
        });
    }

    /** Waits until the worker has received its first task. */
    static void awaitFirstTask(TestServer worker) throws Exception {
        until("the task is at the worker", () -> worker.received.size() == 1);
    }

    /** The number of connections of clients that the dispatcher has accepted and not closed. */
    int clientConnectionCount() throws Exception {
        return onThread(() -> node.dispatcher.clientListener.connectionCount());
    }

    /** The number of tasks for which the dispatcher holds anything. */
    int taskCount() throws Exception {
        return onThread(() -> node.dispatcher.tasks.size());
    }

    /** Waits until the dispatcher has noticed that its one client left, and holds nothing of its task. */
    void awaitClientGone() throws Exception {
        until("the dispatcher notices", () -> count("client_gone") == 1);
        until("the task is removed", () -> taskCount() == 0);
    }

    /** Runs a step on the I/O thread, and waits for it. */
    void runOnThread(Step step) throws Exception {
        onThread(() -> {
            step.run();
            return null;
        });
    }

    /** Runs a step where no checked exception may be thrown. */
    static void runUnchecked(Step step) {
        try {
            step.run();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Replaces the check that the dispatcher makes before the first byte to a worker. The replacement is
     * handed the check, to run it before or after steps of its own.
     */
    void replaceFirstByteCheck(Consumer<Runnable> replacement) throws Exception {
        runOnThread(() -> {
            Runnable check = node.beforeFirstByte();
            node.dispatcher.beforeFirstByte(() -> replacement.accept(check));
        });
    }

    /** Hands the dispatcher the connection of a client, as if it had just been accepted. */
    void serve(SlowClient client) throws Exception {
        runOnThread(() -> node.dispatcher.clientListener.serve(client.connection()));
    }

    /** Whether the dispatcher's page for health checks says that it stops. */
    static boolean isStopping(TestConnection client) throws IOException {
        return client.write(READY_REQUEST).read().text().equals("stopping\n");
    }
}
