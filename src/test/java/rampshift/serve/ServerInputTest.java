package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioIoThread;
import rampshift.TestConnection;
import rampshift.TestServer;

/** Tests of a whole dispatcher with clients that send invalid, incomplete, excessive or no input. */
class ServerInputTest extends ServerTestBase {
    private static final String IN_SERVICE = "in_service";

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    // ---- invalid requests

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "400 | X-Txn: t                  | X-Lane: look | X-Nothing: 1",
            "400 | X-Txn: t                  | X-Lane: what | X-Remaining: 5",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: -1",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: NaN",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: soon",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: 0x1p3",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: 5e3",
            "400 | X-Txn: t                  | X-Lane: look | X-Remaining: 99999999",
            "400 | X-Txn: t u                | X-Lane: look | X-Remaining: 5",
            "400 | X-Txn: t                  | X-Lane: mark | X-Remaining: 5",
            "400 | X-Nothing: 1              | X-Lane: look | X-Remaining: 5",
            "400 | X-Txn: t                  | X-Txn: u     | X-Remaining: 5",
            "400 | X-Labels: slots=1e99      | X-Lane: look | X-Remaining: 5",
            "413 | Content-Length: 9999999   | X-Lane: look | X-Remaining: 5",
            "400 | Content-Length: many      | X-Lane: look | X-Remaining: 5",
            "501 | Transfer-Encoding: chunks | X-Lane: look | X-Remaining: 5",})
    void invalidFieldsAreRejectedAndTheNextTaskIsAnswered(int status, String first, String second,
            String third)
            throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        boolean chunked = first.startsWith("Transfer");
        String length = chunked || first.startsWith("Content") ? "" : "Content-Length: 1\r\n";
        String id = first.startsWith("X-Labels") ? "X-Txn: t\r\n" : "";
        String body = chunked ? "" : "x";
        int received =
                client().write("POST /api HTTP/1.1\r\nHost: a\r\n" + id + first + "\r\n" + second + "\r\n"
                        + third + "\r\n" + length + "\r\n" + body).read().status();
        assertEquals(status, received);
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
        assertEquals(1, worker.received.size(), "nothing of the bad one was sent");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0000\u0001\u0002 nonsense\r\n\r\n", "GET\r\n\r\n",
            "POST /api HTTP/1.1\r\nno colon\r\n\r\n", "POST /a"})
    void nonHttpInputDoesNotAffectOtherClients(String bytes) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        client().write(bytes);
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
    }

    /**
     * Guards against forwarding such requests to workers, stalling until the client disconnects, or closing
     * by a reset.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"400 | Transfer-Encoding: chunked | zz~abc~0~~",
            "400 | Content-Length: 3          | abcdef", "413 | Content-Length: 60000000   | BIG",
            "408 | Content-Length: 600        | half", "408 | X-More:                    | HALF HEAD",})
    void incompleteOrMalformedRequestGetsAnErrorInTimeAndReachesNoWorker(int status, String length,
            String body)
            throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        long startedAt = System.nanoTime();
        String bodyBytes = body.equals("BIG") ? "x".repeat(60_000_000) : body.replace("~", "\r\n");
        String end = body.equals("HALF HEAD") ? "" : "\r\n\r\n" + bodyBytes;
        TestConnection client = client()
                .write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                        + length + end);
        assertEquals(status, client.read().status());
        assertTrue(client.closedByPeer());
        assertTrue(millisSince(startedAt) < 3000, "within the time limit");
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
        assertEquals(1, worker.received.size(), "nothing of the bad one was sent");
    }

    /**
     * Guards against closing a client as silent while its complete task is unread, because the I/O thread is
     * late on an overloaded core.
     */
    @Test
    void taskThatIsUnreadWhileTheThreadIsLateIsAnswered() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client();
        until("the connection is accepted", () -> count("client_connections") >= 2);
        CountDownLatch late = new CountDownLatch(1);
        XnioIoThread thread = (XnioIoThread) Thread.getAllStackTraces().keySet().stream()
                .filter(candidate -> candidate.getName().startsWith("io I/O") && candidate.isAlive())
                .max(Comparator.comparingLong(Thread::getId)).orElseThrow();
        thread.execute(() -> {
            late.countDown();
            long end = System.nanoTime() + 2_600_000_000L;
            while (System.nanoTime() < end) {
                LockSupport.parkNanos(end - System.nanoTime());
            }
        });
        late.await();
        assertEquals(200, client.sendTask("t", "sell", "x").read().status());
    }

    @Test
    void invalidInputAfterARequestInFlightCancelsIt() throws Exception {
        TestServer worker = worker((task, connection) -> {});
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client().sendTask("t", "sell", "x");
        until("the task is sent", () -> worker.received.size() == 1);
        assertEquals(400, client.write("and more").read().status());
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    // ---- more clients or bytes than the limits allow

    /** Guards against regular clients that wait for seconds behind 300 silent ones. */
    @Test
    void clientsWithoutTasksAreClosedFirstAndInTime() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection usual = client();
        assertEquals(200, usual.sendTask("a", "look", "x").read().status());
        List<TestConnection> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(i % 2 == 0 ? client() : client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
        long startedAt = System.nanoTime();
        assertEquals(200, client().sendTask("b", "look", "x").read().status());
        assertTrue(millisSince(startedAt) < 1000, "the new client did not wait for the silent ones");
        assertEquals(200, usual.sendTask("c", "look", "x").read().status(),
                "the connection of a client with tasks stays open");
        for (TestConnection connection : silent) {
            assertTrue(connection.closedByPeer());
        }
        assertTrue(millisSince(startedAt) < 3000, "within the time limit");
    }

    @ParameterizedTest
    @CsvSource({"192,104,1", "1,256,60000"})
    void tasksBeyondTheLimitsAreRejectedAndAllClientsAreAnswered(int memoryMb, int sockets,
            int bodyBytes)
            throws Exception {
        CountDownLatch finish = new CountDownLatch(1);
        TestServer worker = worker((task, connection) -> {
            finish.await();
            connection.respondDone(task, "ok");
        });
        node = node(null, list(true, worker.entry("s-1", IN_SERVICE)),
                "{\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}");
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(client().sendTask("t" + i, "sell", "x".repeat(bodyBytes)));
        }
        until("some tasks were rejected", () -> count("bounced") + count("bounced_full") > 0);
        finish.countDown();
        int rejected = 0;
        for (TestConnection client : clients) {
            int status = client.read().status();
            assertTrue(status == 200 || status == 503, "status " + status);
            rejected += status == 503 ? 1 : 0;
        }
        assertTrue(rejected > 0 && rejected < 60, "rejected " + rejected);
        assertEquals(200, client().sendTask("good", "sell", "x").read().status());
    }

    /** Guards against incomplete bodies that fill the heap, as of 570 stalled clients. */
    @Test
    void stalledBodiesLeaveMemoryForSmallTasks() throws Exception {
        TestServer worker = finishingWorker();
        node = node(null, list(true, worker.entry("s-1", IN_SERVICE)), "{\"memory_mb\":1,\"sockets\":256}");
        String head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Lane: sell\r\nX-Remaining: 5\r\n"
                + "Content-Length: 60000\r\nX-Txn: ";
        TestConnection stalling = client().write(head + "a\r\n\r\nhalf");
        assertEquals(200, client().sendTask("small", "sell", "x").read().status());
        assertEquals(503, client().write(head + "b\r\n\r\nhalf").read().status());
        assertEquals(200, stalling.write("x".repeat(60_000 - 4)).read().status());
        assertEquals(200, client().write(head + "c\r\n\r\n" + "x".repeat(60_000)).read().status());
    }
}
