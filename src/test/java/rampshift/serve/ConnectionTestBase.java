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
 * Base class of the tests of a dispatcher's connections: workers that delay their responses, and steps on the
 * I/O thread. With these a test forces an order of events that is rare otherwise (docs/rare-moments.md).
 */
abstract class ConnectionTestBase extends ServerTestBase {
    /** Enough descriptors for several hundred clients and workers. */
    static final String LIMITS = "{\"memory_mb\":192,\"sockets\":1024}";
    /**
     * Few descriptors: the limit of client connections is 22, and 2 more are accepted while others are
     * closed.
     */
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

    /** Returns an endpoint list of one worker that is in service. */
    static String listOf(TestServer worker) {
        return list(true, worker.entry("s-1", IN_SERVICE));
    }

    /** Starts a dispatcher that knows one worker and has no discovery agent, and waits until it is ready. */
    void startServer(TestServer worker) throws Exception {
        node = node(null, listOf(worker), LIMITS);
    }

    /** Starts a dispatcher as {@link #startServer} does; its list has the worker under a number of ids. */
    void startServer(TestServer worker, int entryCount) throws Exception {
        String[] entries = IntStream.range(0, entryCount)
                .mapToObj(i -> worker.entry("s-" + i, IN_SERVICE)).toArray(String[]::new);
        node = node(null, list(true, entries), LIMITS);
    }

    /** Returns a worker that begins a response to each task and never ends it. */
    TestServer neverFinishingWorker() throws IOException {
        return worker((task, connection) -> connection
                .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    /** Returns a worker that finishes tasks with this result, once it is released. */
    TestServer workerReleasedBy(CountDownLatch release, String result) throws IOException {
        return worker((task, connection) -> {
            release.await();
            connection.respondDone(task, result);
        });
    }

    /** Waits until the worker has received its first task. */
    static void awaitFirstTask(TestServer worker) throws Exception {
        until("the task is at the worker", () -> worker.received.size() == 1);
    }

    /** Returns the number of open client connections of the dispatcher. */
    int clientConnectionCount() throws Exception {
        return onThread(() -> node.dispatcher.clientListener.connectionCount());
    }

    /** Returns the number of tasks in flight in the dispatcher. */
    int taskCount() throws Exception {
        return onThread(() -> node.dispatcher.tasks.size());
    }

    /** Waits until the dispatcher has detected the disconnect of its one client, and has removed its task. */
    void awaitClientGone() throws Exception {
        until("the dispatcher detects the disconnect", () -> count("client_gone") == 1);
        until("the task is removed", () -> taskCount() == 0);
    }

    /** Runs a step on the I/O thread, and waits for it. */
    void runOnThread(Step step) throws Exception {
        onThread(() -> {
            step.run();
            return null;
        });
    }

    /** Runs a step, and wraps its checked exceptions. */
    static void runUnchecked(Step step) {
        try {
            step.run();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Replaces the hook before the first byte to a worker. The replacement receives the original hook, and
     * runs it before or after steps of its own.
     */
    void replaceFirstByteHook(Consumer<Runnable> replacement) throws Exception {
        runOnThread(() -> {
            Runnable hook = node.firstByteHook();
            node.dispatcher.setFirstByteHook(() -> replacement.accept(hook));
        });
    }

    /** Passes the connection of a client to the dispatcher as if it had just been accepted. */
    void serve(SlowClient client) throws Exception {
        runOnThread(() -> node.dispatcher.clientListener.serve(client.serverEnd()));
    }

    /** Returns whether the dispatcher's page for health checks reports that it is stopping. */
    static boolean isStopping(TestConnection client) throws IOException {
        return client.write(READY_REQUEST).read().text().equals("stopping\n");
    }
}
