package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;

/**
 * Requests that cross the dispatcher's close of an idle connection, at its shutdown or after an idle
 * timeout. A close over unread bytes is a reset that swallows the request; its client must get an answer
 * instead, there or on its next connection.
 */
class ConnectionCloseTest extends ConnectionTestBase {
    /** Longer than the idle timeout of connections in the test configuration. */
    private static final int BEYOND_IDLE_TIMEOUT_MS = 1200;
    /** Longer than a connection without a request was once kept during a shutdown. */
    private static final int AFTER_CONNECT_MS = 120;
    private static final int STOP_TIMEOUT_MS = 20_000;
    private static final String REQUEST_START = "POST /api HTTP/1.1\r\nHost: a\r\n";
    private static final String REQUEST_REST =
            "X-Txn: t\r\nX-Lane: look\r\nX-Remaining: 5\r\nContent-Length: 1\r\n\r\nx";

    /**
     * Has the I/O thread wait until the client has written a request, and run a step before it reads
     * anything.
     */
    private void runBeforeRequestIsRead(TestConnection client, Step step) throws Exception {
        runOnThread(() -> {
            client.sendTask("b", NON_IDEMPOTENT, "x");
            step.run();
        });
    }

    /** A shutdown once closed idle connections without a last read. */
    @Test
    void unreadRequestIsAnsweredWhenConnectionsAreClosed() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        assertEquals(200, client.sendTask("a", NON_IDEMPOTENT, "x").read().status());
        runBeforeRequestIsRead(client, () -> node.dispatcher.stopAcceptingRequests());
        assertEquals(503, client.read().status());
        assertEquals(1, worker.received.size());
    }

    /** The I/O thread is busy beyond the idle timeout, and the request arrives in that time. */
    @Test
    void unreadRequestOfAClientThatIdledTooLongIsAnswered() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        assertEquals(200, readyStatus(client));
        runBeforeRequestIsRead(client, () -> stand(BEYOND_IDLE_TIMEOUT_MS));
        assertEquals(200, client.read().status());
    }

    /** The listening socket was once closed in the turn that closed the last idle connection. */
    @Test
    void requestThatCrossedAConnectionCloseIsAnsweredOnTheNextOne() throws Exception {
        TestServer worker = finishingWorker();
        node = new DispatcherServer(parse(TestPeers.configuration(null, listOf(worker), LIMITS)
                .replaceAll("\"ExpiryMs\":\\d+", "\"ExpiryMs\":1500")));
        node.awaitReady();
        TestConnection client = client();
        assertEquals(200, client.sendTask("a", NON_IDEMPOTENT, "x").read().status());
        Thread stop = new Thread(node::stop);
        stop.start();
        assertTrue(client.closedByPeer(), "the idle connection is closed");
        assertEquals(503, client().sendTask("b", NON_IDEMPOTENT, "x").read().status());
        stop.join(STOP_TIMEOUT_MS);
        assertTrue(node.isStopped());
    }

    /**
     * A client that had connected 0.1 s before the shutdown closed idle connections was once closed unread,
     * also in the middle of its request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", REQUEST_START})
    void clientThatIsAboutToSendARequestAtShutdownIsAnswered(String begun) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client().write(begun);
        until("the connection is accepted", () -> clientConnectionCount() == 1);
        runOnThread(() -> {
            stand(AFTER_CONNECT_MS);
            node.dispatcher.stopAcceptingRequests();
        });
        client.write(REQUEST_START.substring(begun.length()) + REQUEST_REST);
        assertEquals(503, client.read().status());
    }
}
