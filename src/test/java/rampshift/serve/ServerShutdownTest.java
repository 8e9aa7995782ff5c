package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import rampshift.MainAccess;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;

/**
 * The shutdown of a whole dispatcher during its start and while tasks are in flight. Each task gets one
 * correct final response: 503 only if its client may retry it, 504 if it may have been executed and is not
 * idempotent.
 */
class ServerShutdownTest extends ConnectionTestBase {
    private static final int STOP_TIMEOUT_MS = 20_000;
    private static final String FINISHED_MESSAGE =
            "{\"id\":\"t\",\"state\":\"done\",\"result\":\"sold\"}\n";
    /** A part of the finished message. */
    private static final int BYTES_BEFORE_STOP = 30;
    /** Longer than the delay until sent bytes can be read. */
    private static final int ARRIVAL_MS = 20;
    /** Text that is never in a response, so that all input is read until the end of the connection. */
    private static final String NO_SUCH_TEXT = "[no such text]";

    /** Guards against a SIGTERM that arrives during the start, before its handler is installed. */
    @Test
    void stopDuringTheStartIsGraceful() throws Exception {
        TestServer worker = finishingWorker();
        FutureTask<DispatcherServer> start = new FutureTask<>(() -> node(null, listOf(worker), LIMITS));
        Thread stop = MainAccess.shutdownHook(start);
        stop.start();
        start.run();
        node = start.get();
        TestConnection client = client();
        until("the dispatcher stops", () -> isStopping(client));
        assertEquals(200, client.sendTask("a", NON_IDEMPOTENT, "x").read().status());
        client.close();
        stop.join(STOP_TIMEOUT_MS);
        assertTrue(node.isStopped());
    }

    /** Both tasks are in flight at a worker; the client may retry the idempotent one. */
    @Test
    void idempotentTaskIsRejectedAtShutdownAndNonIdempotentOneIsFailed() throws Exception {
        TestServer worker = neverFinishingWorker();
        node = new DispatcherServer(parse(TestPeers.configuration(null, listOf(worker), LIMITS)
                .replaceAll("\"ExpiryMs\":\\d+", "\"ExpiryMs\":1500")));
        node.awaitReady();
        TestConnection idempotent = client().sendTask("a", IDEMPOTENT, "x");
        TestConnection nonIdempotent = client().sendTask("b", NON_IDEMPOTENT, "x");
        until("both tasks are at the worker", () -> worker.received.size() == 2);
        runOnThread(() -> node.dispatcher.policyHost.endAllTasks());
        assertEquals(503, idempotent.read().status());
        assertEquals(504, nonIdempotent.read().status());
    }

    /**
     * Half of the worker's last message is unread when a non-idempotent task is failed, and the rest arrives
     * later. The client must receive one complete response, and the message must not be counted.
     */
    @Test
    void partialProgressMessageAtShutdownIsIgnored() throws Exception {
        CountDownLatch sendStart = new CountDownLatch(1);
        CountDownLatch sendRest = new CountDownLatch(1);
        TestServer worker = workerThatFinishesInTwoParts(sendStart, sendRest);
        startServer(worker);
        TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        runOnThread(() -> {
            sendStart.countDown();
            busyWait(ARRIVAL_MS);
            node.dispatcher.stopAcceptingRequests();
            node.dispatcher.policyHost.endAllTasks();
            sendRest.countDown();
        });
        String answer = client.readUntil(NO_SUCH_TEXT);
        assertTrue(answer.startsWith("HTTP/1.1 504 ") && answer.endsWith("\r\n\r\n[END]"), answer);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
        assertEquals(0, count("finished"));
    }

    private TestServer workerThatFinishesInTwoParts(CountDownLatch sendStart, CountDownLatch sendRest)
            throws Exception {
        String chunk = Integer.toHexString(FINISHED_MESSAGE.length()) + "\r\n" + FINISHED_MESSAGE
                + "\r\n0\r\n\r\n";
        return worker((task, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendStart.await();
            connection.write(chunk.substring(0, BYTES_BEFORE_STOP));
            sendRest.await();
            connection.write(chunk.substring(BYTES_BEFORE_STOP));
        });
    }
}
