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
 * A dispatcher that is behind rejects tasks, and is kept behind by what that costs: at four times what it
 * carries it finished nothing. So a task is rejected by its head, before the HTTP server parses it. The tests
 * shut the admission window and hand the dispatcher a request before its sockets are polled.
 */
class OverloadRejectionTest extends ConnectionTestBase {
    /** Longer than a window is open. */
    private static final long WINDOW_MS = 25;
    /** Together longer than an overload is tolerated, each shorter than what ends one. */
    private static final int TOLERATED_WINDOWS = 2;
    private static final long WINDOW_INTERVAL_MS = 600;
    /** The decoder refuses it: only who never decodes it answers anything but 400. */
    private static final String TASK_OF_NO_TYPE =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: n\r\nX-Remaining: 5\r\nContent-Length: 1\r\n\r\nx";

    @Test
    void aTaskIsRejectedByItsHeadAndItsConnectionStaysOpen() throws Exception {
        startServer(finishingWorker());
        SlowClient client = rejectedClient(TASK_OF_NO_TYPE);
        assertEquals(1, count("bounced_full"));
        assertEquals(1, count("bounced"));
        assertEquals(0, count("turned_down"));
        client.line().sendTask("next", IDEMPOTENT, "x");
        HttpMessage next = client.line().read();
        assertEquals("ok", next.text(), "the overload has ended: " + next.startLine());
    }

    @Test
    void aLaterTaskOfAConnectionIsRejectedByItsHead() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        serve(client);
        assertEquals(200, client.line().sendTask("first", IDEMPOTENT, "x").read().status());
        inOverload(() -> {
            client.line().write(TASK_OF_NO_TYPE);
            ConduitStreamSourceChannel source = client.connection().getSourceChannel();
            ChannelListeners.invokeChannelListener(source, source.getReadListener());
        });
        assertRejected(client.line().read());
        assertEquals(200, client.line().sendTask("last", IDEMPOTENT, "x").read().status());
    }

    /** Tasks that a client sends without waiting for responses are each answered, in their order. */
    @Test
    void tasksBehindARejectedOneAreAnswered() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.line().write(TASK_OF_NO_TYPE).sendTask("a", IDEMPOTENT, "x").sendTask("b", IDEMPOTENT, "x");
        serveInOverload(client);
        assertRejected(client.line().read());
        assertEquals("ok", client.line().read().text());
        assertEquals("ok", client.line().read().text());
    }

    /**
     * To reject a task says that it may be sent again. One whose transaction is in flight may run meanwhile,
     * so it gets the answer of the decoder.
     */
    @Test
    void aTransactionInFlightIsNotRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerHeldBy(release, "sold");
        startServer(worker);
        client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        SlowClient client = slowClient();
        client.line().sendTask("t", NON_IDEMPOTENT, "x");
        serveInOverload(client);
        assertEquals(409, client.line().read().status());
        release.countDown();
    }

    @Test
    void pagesAreServedInAnOverload() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.line().write(READY_REQUEST);
        serveInOverload(client);
        assertEquals(200, client.line().read().status());
    }

    /** Many clients say what is the default of HTTP/1.1. */
    @Test
    void aTaskOfAClientThatAsksToKeepItsConnectionIsRejectedByItsHead() throws Exception {
        startServer(finishingWorker());
        rejectedClient(TASK_OF_NO_TYPE.replace("Host: a", "Host: a\r\nConnection: Keep-Alive"));
    }

    /** Who asks for the end of the connection is served by the HTTP server, which ends it. */
    @Test
    void aConnectionThatIsToCloseCloses() throws Exception {
        startServer(finishingWorker());
        SlowClient client = slowClient();
        client.line().write(TASK_OF_NO_TYPE.replace("Host: a", "Host: a\r\nConnection: close")
                .replace("X-Remaining", "X-Lane: look\r\nX-Remaining"));
        serveInOverload(client);
        assertEquals(503, client.line().read().status());
        assertTrue(client.line().closedByPeer());
    }

    @Test
    void aRejectedClientThatLeavesIsForgotten() throws Exception {
        startServer(finishingWorker());
        SlowClient client = rejectedClient(TASK_OF_NO_TYPE);
        client.line().disconnect(FIN);
        until("its connection is closed", () -> clientConnectionCount() == 0);
    }

    /** A client whose first request comes in an overload and is rejected. */
    private SlowClient rejectedClient(String request) throws Exception {
        SlowClient client = slowClient();
        client.line().write(request);
        serveInOverload(client);
        assertRejected(client.line().read());
        return client;
    }

    private static void assertRejected(HttpMessage response) {
        assertEquals(503, response.status());
        assertEquals("1.000", response.field("Retry-After"));
        assertNull(response.field("Connection"));
    }

    private void serveInOverload(SlowClient client) throws Exception {
        inOverload(() -> node.dispatcher.clientListener.serve(client.connection()));
    }

    /** Runs a step on the I/O thread before it polls, with the admission window shut. */
    private void inOverload(Step step) throws Exception {
        AdmissionWindow window = node.dispatcher.admissionWindow;
        for (int i = 0; i < TOLERATED_WINDOWS; i++) {
            assertTrue(onThread(() -> isOpenForLong(window)), "a burst");
            Thread.sleep(WINDOW_INTERVAL_MS);
        }
        runOnThread(() -> {
            assertFalse(isOpenForLong(window), "an overload");
            step.run();
        });
    }

    private static boolean isOpenForLong(AdmissionWindow window) throws InterruptedException {
        assertTrue(window.isOpen(), "the first task after a poll");
        Thread.sleep(WINDOW_MS);
        return window.isOpen();
    }
}
