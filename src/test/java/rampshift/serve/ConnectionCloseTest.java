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
 * Requests that cross the dispatcher's close of an idle connection, at its shutdown or after an idle timeout.
 * A close with unread bytes would cause a TCP reset and lose the request; the client must get a response, on
 * the same or on its next connection.
 */
class ConnectionCloseTest extends ConnectionTestBase {
    /** Longer than the idle timeout of connections in the test configuration. */
    private static final int BEYOND_IDLE_TIMEOUT_MS = 1200;
    /**
     * Time between the connect of a client and the close of idle connections; a dispatcher that closes
     * connections of this age loses requests.
     */
    private static final int AFTER_CONNECT_MS = 120;
    private static final int STOP_TIMEOUT_MS = 20_000;
    private static final String REQUEST_START = "POST /api HTTP/1.1\r\nHost: a\r\n";
    private static final String REQUEST_REST =
            "X-Txn: t\r\nX-Lane: look\r\nX-Remaining: 5\r\nContent-Length: 1\r\n\r\nx";

    /**
     * Blocks the I/O thread until the client has written a request, and runs a step before the thread reads
     * it.
     */
    private void runBeforeRequestIsRead(TestConnection client, Step step) throws Exception {
        runOnThread(() -> {
            client.sendTask("b", NON_IDEMPOTENT, "x");
            step.run();
        });
    }

    /** Guards against a shutdown that closes idle connections without a final read. */
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

    /** The I/O thread is busy for longer than the idle timeout, and the request arrives in that time. */
    @Test
    void unreadRequestAfterTheIdleTimeoutIsAnswered() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        assertEquals(200, readyStatus(client));
        runBeforeRequestIsRead(client, () -> busyWait(BEYOND_IDLE_TIMEOUT_MS));
        assertEquals(200, client.read().status());
    }

    /** Guards against closing the listening socket in the same tick as the last idle connection. */
    @Test
    void requestThatCrossedACloseIsAnsweredOnTheNextConnection() throws Exception {
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
     * Guards against a shutdown that closes a connection unread if its client has connected 0.1 s earlier,
     * even in the middle of its request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", REQUEST_START})
    void clientThatIsAboutToSendARequestAtShutdownIsAnswered(String begun) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client().write(begun);
        until("the connection is accepted", () -> clientConnectionCount() == 1);
        runOnThread(() -> {
            busyWait(AFTER_CONNECT_MS);
            node.dispatcher.stopAcceptingRequests();
        });
        client.write(REQUEST_START.substring(begun.length()) + REQUEST_REST);
        assertEquals(503, client.read().status());
    }
}
