package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import rampshift.HttpMessage;
import rampshift.TestConnection;
import rampshift.TestServer;

/**
 * Requests that a client sends before the preceding one is answered. They are served in order, up to a memory
 * limit, and must not change the response to the task in flight.
 */
class PipelinedRequestTest extends ConnectionTestBase {
    /**
     * Size of a request body. The dispatcher buffers two such requests; it drops the input of a client that
     * sends more, and closes the connection after the next response.
     */
    private static final int LARGE_BODY_BYTES = 60_000;
    private static final int EXCESSIVE_REQUESTS = 20;
    /** A memory limit that one request of that size uses up. */
    private static final String SMALL_MEMORY_LIMITS = "{\"memory_mb\":1,\"sockets\":256}";
    /** With 100 bytes of memory for each they exceed that limit. */
    private static final int MAX_SINGLE_BYTES = 840;
    private static final String LARGE_REQUEST_UP_TO_ID =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                    + "Content-Length: 60000\r\nX-Txn: ";
    private static final String PART_OF_BODY = "\r\n\r\nhalf";
    private static final String HEAD_THAT_EXPECTS_CONTINUE =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: b\r\nX-Lane: look\r\n"
                    + "X-Remaining: 5\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";

    /** Above the limit the connection is closed, but only after the response to the task in flight. */
    @Test
    void endlessPipeliningIsBoundedAndTheTaskInFlightIsAnswered() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = worker((task, connection) -> {
            release.await();
            connection.respondDone(task, task.field("X-Txn"));
        });
        startServer(worker);
        TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        for (int i = 0; i < EXCESSIVE_REQUESTS; i++) {
            client.sendTask("b" + i, IDEMPOTENT, "x".repeat(LARGE_BODY_BYTES));
        }
        // The worker must not respond earlier: input that the kernel still buffers would be read as the next
        // request.
        until("the dispatcher has dropped pipelined input", () -> count("sent_ahead") == 1);
        release.countDown();
        HttpMessage answer = client.read();
        assertEquals("t", answer.text());
        assertEquals("close", answer.field("Connection"));
        assertEquals(1, worker.received.size());
        assertEquals(1, count("sent_ahead"));
    }

    /**
     * Guards against responding 503 to a non-idempotent task in flight when bodies of other clients use up
     * the memory: 503 means that the task was not executed.
     */
    @Test
    void taskThatMayHaveRunIsNotRejectedForPipelinedInput() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerReleasedBy(release, "sold");
        node = node(null, list(true, worker.entry("s-1", IN_SERVICE)), SMALL_MEMORY_LIMITS);
        TestConnection otherClient = client().write(LARGE_REQUEST_UP_TO_ID + "a" + PART_OF_BODY);
        TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        client.write(LARGE_REQUEST_UP_TO_ID + "b" + PART_OF_BODY);
        until("one of the large requests is dropped", () -> count("sent_ahead") + count("turned_down") == 1);
        release.countDown();
        HttpMessage answer = client.read();
        assertEquals(200, answer.status());
        assertEquals("sold", answer.text());
        otherClient.close();
    }

    /** Guards against counting the bytes of pipelined input alone: single bytes take up far more. */
    @Test
    void pipelinedInputIsLimitedByTheMemoryThatItTakesUp() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerReleasedBy(release, "sold");
        node = node(null, list(true, worker.entry("s-1", IN_SERVICE)), SMALL_MEMORY_LIMITS);
        TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        client.sendTask("next", NON_IDEMPOTENT, "x");
        for (int sent = 0; count("sent_ahead") == 0; sent++) {
            assertTrue(sent < MAX_SINGLE_BYTES, "single bytes are still kept");
            client.write("P");
        }
        release.countDown();
        assertEquals("sold", client.read().text());
    }

    /**
     * Guards against marking the interim response as sent while the preceding request is in flight, after
     * which the client never receives it.
     */
    @Test
    void pipelinedRequestReceivesContinueAfterThePrecedingResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerReleasedBy(release, "ok");
        startServer(worker);
        TestConnection client =
                client().sendTask("a", IDEMPOTENT, "x").write(HEAD_THAT_EXPECTS_CONTINUE);
        awaitFirstTask(worker);
        release.countDown();
        assertEquals(200, client.read().status());
        assertEquals(100, client.read().status());
        assertEquals(200, client.write("abc").read().status());
    }
}
