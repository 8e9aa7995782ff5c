package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelListeners;
import org.xnio.conduits.ConduitStreamSourceChannel;
import rampshift.HttpMessage;
import rampshift.TestServer;
import rampshift.pipeline.AdmissionWindow;

/**
 * Early rejection during overload. Rejecting decoded tasks is so expensive that a dispatcher at four times
 * its capacity completes none, so tasks are rejected by their head before the HTTP server parses them. The
 * tests overload the dispatcher until its admission window rejects tasks, and pass a request to it before it
 * polls its sockets.
 */
class OverloadRejectionTest extends ConnectionTestBase {
    /** Longer than an admission window may last in an overload before it rejects tasks. */
    private static final long WINDOW_MS = 25;
    /**
     * Number of windows that are together longer than the tolerated overload, while each interval is shorter
     * than the one that ends an overload.
     */
    private static final int TOLERATED_WINDOWS = 2;
    private static final long WINDOW_INTERVAL_MS = 600;
    /**
     * A task without a traffic type. The decoder responds 400, so any other status shows that the task was
     * not decoded.
     */
    private static final String TASK_WITHOUT_TYPE =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: n\r\nX-Remaining: 5\r\nContent-Length: 1\r\n\r\nx";

    @Test
    void aTaskIsRejectedByItsHeadAndItsConnectionStaysOpen() throws Exception {
        startServer(finishingWorker());
        SlowClient client = rejectedClient(TASK_WITHOUT_TYPE);
        assertEquals(1, count("bounced_full"));
        assertEquals(1, count("bounced"));
        assertEquals(0, count("turned_down"));
        client.clientEnd().sendTask("next", IDEMPOTENT, "x");
        HttpMessage next = client.clientEnd().read();
        assertEquals("ok", next.text(), "the overload has ended: " + next.startLine());
    }

    @Test
    void aLaterTaskOfAConnectionIsRejectedByItsHead() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        serve(client);
        assertEquals(200, client.clientEnd().sendTask("first", IDEMPOTENT, "x").read().status());
        runDuringOverload(() -> {
            client.clientEnd().write(TASK_WITHOUT_TYPE);
            ConduitStreamSourceChannel source = client.serverEnd().getSourceChannel();
            ChannelListeners.invokeChannelListener(source, source.getReadListener());
        });
        assertRejected(client.clientEnd().read());
        assertEquals(200, client.clientEnd().sendTask("last", IDEMPOTENT, "x").read().status());
    }

    /** Pipelined tasks are each answered, in their order. */
    @Test
    void tasksPipelinedAfterARejectedOneAreAnswered() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.clientEnd().write(TASK_WITHOUT_TYPE).sendTask("a", IDEMPOTENT, "x")
                .sendTask("b", IDEMPOTENT, "x");
        serveDuringOverload(client);
        assertRejected(client.clientEnd().read());
        assertEquals("ok", client.clientEnd().read().text());
        assertEquals("ok", client.clientEnd().read().text());
    }

    /**
     * A rejection allows the client to retry. The task of a transaction in flight may already be executing,
     * so it gets the decoder's response.
     */
    @Test
    void aTransactionInFlightIsNotRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerReleasedBy(release, "sold");
        startServer(worker);
        client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        SlowClient client = slowClient();
        client.clientEnd().sendTask("t", NON_IDEMPOTENT, "x");
        serveDuringOverload(client);
        assertEquals(409, client.clientEnd().read().status());
        release.countDown();
    }

    @Test
    void pagesAreServedDuringOverload() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.clientEnd().write(READY_REQUEST);
        serveDuringOverload(client);
        assertEquals(200, client.clientEnd().read().status());
    }

    /** Many clients send the default of HTTP/1.1 explicitly. */
    @Test
    void aTaskOfAClientThatAsksToKeepItsConnectionIsRejectedByItsHead() throws Exception {
        startServer(finishingWorker());
        rejectedClient(TASK_WITHOUT_TYPE.replace("Host: a", "Host: a\r\nConnection: Keep-Alive"));
    }

    /** A request with Connection: close is passed to the HTTP server, which closes the connection. */
    @Test
    void connectionCloseFieldIsRespectedDuringOverload() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.clientEnd().write(TASK_WITHOUT_TYPE.replace("Host: a", "Host: a\r\nConnection: close")
                .replace("X-Remaining", "X-Lane: look\r\nX-Remaining"));
        serveDuringOverload(client);
        assertEquals(503, client.clientEnd().read().status());
        assertTrue(client.clientEnd().closedByPeer());
    }

    @Test
    void aRejectedClientIsRemovedAfterItsDisconnect() throws Exception {
        startServer(finishingWorker());
        SlowClient client = rejectedClient(TASK_WITHOUT_TYPE);
        client.clientEnd().disconnect(FIN);
        until("the connection is closed", () -> clientConnectionCount() == 0);
    }

    /** Returns a client whose first request was rejected for overload. */
    private SlowClient rejectedClient(String request) throws Exception {
        SlowClient client = slowClient();
        client.clientEnd().write(request);
        serveDuringOverload(client);
        assertRejected(client.clientEnd().read());
        return client;
    }

    private static void assertRejected(HttpMessage response) {
        assertEquals(503, response.status());
        assertEquals("1.000", response.field("Retry-After"));
        assertNull(response.field("Connection"));
    }

    private void serveDuringOverload(SlowClient client) throws Exception {
        runDuringOverload(() -> node.dispatcher.clientListener.serve(client.serverEnd()));
    }

    /** Runs a step on the I/O thread before it polls, while the admission window rejects tasks. */
    private void runDuringOverload(Step step) throws Exception {
        AdmissionWindow window = node.dispatcher.admissionWindow;
        for (int i = 0; i < TOLERATED_WINDOWS; i++) {
            assertTrue(onThread(() -> isOpenBeyondLimit(window)), "a burst is not an overload");
            Thread.sleep(WINDOW_INTERVAL_MS);
        }
        runOnThread(() -> {
            assertFalse(isOpenBeyondLimit(window), "the window admits tasks in an overload");
            step.run();
        });
    }

    private static boolean isOpenBeyondLimit(AdmissionWindow window) throws InterruptedException {
        assertTrue(window.isOpen(), "the window rejects the first task after a poll");
        Thread.sleep(WINDOW_MS);
        return window.isOpen();
    }
}
