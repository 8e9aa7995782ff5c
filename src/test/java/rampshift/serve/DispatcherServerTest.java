package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.HttpMessage;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;

/** Tests of a whole dispatcher between clients and workers on loopback. */
class DispatcherServerTest extends ServerTestBase {
    private static final String IN_SERVICE = "in_service";

    // ---- tasks without failures

    @Test
    void taskIsForwardedByteForByte() throws Exception {
        TestServer worker = worker((task, connection) -> connection
                .respondWithProgress(
                        "{\"id\":\"t1\",\"state\":\"done\",\"result\":\"a\\u00e9\\n\u00c3\u00a9\\\"\"}"));
        startServer(worker.entry("s-1", IN_SERVICE));
        String body = "\r\n\r\nHTTP/1.1 200 OK\r\n\u0000\u00ff end";
        HttpMessage answer =
                client().write("POST /api/;v=1/%2f%41?q=%20&&x HTTP/1.1\r\nHost: origin.svc\r\nx-txn: t1\r\n"
                        + "X-Lane: look\r\nX-Remaining: 4.5\r\nX-Labels: slots=2,memory=0.5,odd\r\n"
                        + "Idempotency-Key: K-\u00e9\r\nConnection: keep-alive\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n" + body).read();
        HttpMessage sent = worker.received.get(0);
        assertEquals("POST /api/;v=1/%2f%41?q=%20&&x HTTP/1.1", sent.startLine());
        assertEquals("t1", sent.field("X-Txn"));
        assertEquals("K-\u00e9", sent.field("Idempotency-Key"));
        assertEquals(body, sent.text());
        double remaining = Double.parseDouble(sent.field("X-Remaining"));
        assertTrue(remaining > 3 && remaining <= 4.5, "time left: " + remaining);
        assertNull(sent.field("Connection"), "the field is for the client's connection only");
        assertEquals(200, answer.status());
        assertEquals("a\u00c3\u00a9\n\u00c3\u00a9\"", answer.text(),
                "escapes are decoded, other bytes are unchanged");
    }

    /**
     * Guards against a read listener that is not restored, so that every second task on a persistent
     * connection is never read.
     */
    @Test
    void manyTasksOfOneClientConnectionGoOverOneWorkerConnection() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, client.sendTask("t" + i, "look", "x").read().status());
        }
        assertEquals(1, worker.connections.size(), "a connection is reused");
    }

    @Test
    void bodyInSeveralReadsOrChunksIsForwardedComplete() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client();
        client.write("""
                POST /api HTTP/1.1\r
                Host: a\r
                X-Txn: p\r
                X-Lane: look\r
                X-Remaining: 5\r
                Content-Length: 6\r
                \r
                ab""");
        Thread.sleep(20);
        assertEquals(200, client.write("cdef").read().status());
        client.write("""
                POST /api HTTP/1.1\r
                Host: a\r
                X-Txn: c\r
                X-Lane: look\r
                X-Remaining: 5\r
                Transfer-Encoding: chunked\r
                Expect: 100-continue\r
                \r
                """);
        assertEquals(100, client.read().status());
        assertEquals(200, client.write("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n").read().status());
        assertEquals("abcdef", worker.received.get(0).text());
        assertEquals("abcdef", worker.received.get(1).text());
        assertEquals("6", worker.received.get(1).field("Content-Length"));
    }

    /** Guards against never writing a request without a body, so that its task never starts. */
    @ParameterizedTest
    @ValueSource(strings = {"look", "sell"})
    void taskWithoutABodyIsSent(String type) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        assertEquals(200, client().sendTask("t", type, "").read().status());
    }

    @Test
    void pipelinedTaskWaitsForThePrecedingOne() throws Exception {
        CountDownLatch finish = new CountDownLatch(1);
        TestServer worker = worker((task, connection) -> {
            finish.await();
            connection.respondDone(task, task.field("X-Txn"));
        });
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client().sendTask("a", "look", "1").sendTask("b", "look", "2");
        until("the first task is sent", () -> worker.received.size() == 1);
        finish.countDown();
        assertEquals("a", client.read().text());
        assertEquals("b", client.read().text());
    }

    /** Guards against counting the tasks of all tenants against the quota of the first one. */
    @Test
    void eachTenantHasItsOwnQuota() throws Exception {
        TestServer worker =
                worker((task, connection) -> connection.respondStatus(503, "X-Turned-Away: 1\r\n"));
        String tenants = "\"ExcessEarnings\":0,\"Tenants\":[{\"Name\":\"much\",\"QuotaPerS\":1},"
                + "{\"Name\":\"little\",\"QuotaPerS\":1}],\"WeightSource\"";
        node = new DispatcherServer(
                parse(TestPeers.configuration(null, list(true, worker.entry("s-1", IN_SERVICE)), SMALL_LIMITS)
                        .replace("\"WeightSource\"", tenants)));
        node.awaitReady();
        for (int i = 0; i < 60; i++) {
            assertEquals(503, taskOf(i % 6 == 0 ? "little" : "much", "t" + i).status());
        }
        int before = worker.received.size();
        assertEquals(503, taskOf("much", "beyond").status());
        assertEquals(before, worker.received.size(), "capacity is short and the tenant is over its quota");
        assertEquals(503, taskOf("little", "within").status());
        assertTrue(worker.received.size() > before, "not affected by the traffic of other tenants");
        assertEquals(503, taskOf("nobody", "unknown").status());
        assertEquals("unknown", worker.received.get(worker.received.size() - 1).field("X-Txn"),
                "a tenant without a quota is never over it");
    }

    private HttpMessage taskOf(String tenant, String id) throws IOException {
        return client().write("POST /api HTTP/1.1\r\nHost: a\r\nX-Org: " + tenant + "\r\nX-Txn: " + id
                + "\r\nX-Lane: look\r\nX-Remaining: 5\r\nContent-Length: 0\r\n\r\n").read();
    }

    // ---- tasks that were not executed, and tasks that may have been

    @ParameterizedTest
    @ValueSource(strings = {"503", "504", "returned"})
    void nonIdempotentTaskThatAWorkerRejectedIsRetriedOnTheNext(String failure) throws Exception {
        List<String> sent = Collections.synchronizedList(new ArrayList<>());
        ServerScript script = (task, connection) -> {
            sent.add(task.field("X-Txn"));
            if (sent.size() > 1) {
                connection.respondDone(task, "ok");
            } else if (failure.equals("returned")) {
                connection.respondWithProgress("{\"id\":\"t\",\"state\":\"returned\",\"load\":{\"x0\":0}}");
            } else {
                connection.respondStatus(Integer.parseInt(failure),
                        "X-Turned-Away: 1\r\nX-Pressure: {\"x0\":0}\r\n");
            }
        };
        startServer(worker(script).entry("s-1", IN_SERVICE), worker(script).entry("s-2", IN_SERVICE));
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(2, sent.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"500", "503", "429", "404", "failed", "lost", "closes", "half", "no JSON",
            "another task", "no id", "ends early"})
    void nonIdempotentTaskThatMayHaveRunIsNeitherRetriedNorRejected(String failure) throws Exception {
        ServerScript script = (task, connection) -> failTask(failure, connection);
        TestServer first = worker(script);
        TestServer second = worker(script);
        startServer(first.entry("s-1", IN_SERVICE), second.entry("s-2", IN_SERVICE));
        assertEquals(504, client().sendTask("t", "sell", "x").read().status());
        assertEquals(1, first.received.size() + second.received.size());
    }

    private static void failTask(String failure, TestConnection connection) throws IOException {
        switch (failure) {
            case "500", "503", "429", "404" -> connection.respondStatus(Integer.parseInt(failure), "");
            case "failed", "lost" ->
                connection.respondWithProgress("{\"id\":\"t\",\"state\":\"" + failure + "\"}");
            case "closes" -> connection.close();
            case "half" -> {
                connection.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"id\":\"t\",\"sta");
                connection.close();
            }
            case "no JSON" -> connection.respondWithProgress("{\"id\":\"t\",\"state\"");
            case "another task" ->
                connection.respondWithProgress("{\"id\":\"u\",\"state\":\"done\",\"result\":\"not yours\"}");
            case "no id" -> connection.respondWithProgress("{\"state\":\"done\",\"result\":\"whose\"}");
            default -> connection.respondWithProgress("{\"id\":\"t\",\"state\":\"started\"}",
                    "{\"id\":\"t\",\"state\":\"what\",\"odd\":[1]}");
        }
    }

    @Test
    void taskIsRetriedOnTheNextWorkerIfTheConnectionIsRefused() throws Exception {
        TestServer closed = finishingWorker();
        closed.close();
        TestServer listening = finishingWorker();
        startServer(closed.entry("s-1", IN_SERVICE), listening.entry("s-2", IN_SERVICE));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, client().sendTask("t" + i, "sell", "x").read().status());
        }
    }

    @Test
    void workerConnectionIsClosedWhenTheClientDisconnects() throws Exception {
        TestServer worker = worker(
                (task, connection) -> connection
                        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        startServer(worker.entry("s-1", IN_SERVICE));
        TestConnection client = client().sendTask("t", "look", "x");
        until("the task is sent", () -> worker.received.size() == 1);
        assertEquals(0, worker.ended.size());
        client.close();
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    @Test
    void taskIsFailedBeforeItsDeadlineAndItsConnectionClosed() throws Exception {
        TestServer worker = worker((task, connection) -> {});
        node = new DispatcherServer(
                parse(TestPeers.configuration(null, list(true, worker.entry("s-1", IN_SERVICE)), SMALL_LIMITS)
                        .replace("\"ExpiryMs\":600", "\"ExpiryMs\":3000")));
        node.awaitReady();
        long startedAt = System.nanoTime();
        assertEquals(504, client().sendTask("t", "flash", "").read().status());
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        assertTrue(millis > 2000, "failed too early: " + millis);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    @Test
    void idleWorkerConnectionIsClosedByTheDispatcher() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker.entry("s-1", IN_SERVICE));
        assertEquals(200, client().sendTask("t", "look", "x").read().status());
        until("the dispatcher has closed the connection", () -> worker.ended.size() == 1);
    }

    @Test
    void taskThatIsInFlightOrAnsweredIsNotAdmittedAgain() throws Exception {
        TestServer worker = worker((task, connection) -> {});
        startServer(worker.entry("s-1", IN_SERVICE));
        client().sendTask("t", "sell", "x");
        until("the task is sent", () -> worker.received.size() == 1);
        assertEquals(409, client().sendTask("t", "sell", "x").read().status());
        TestServer other = finishingWorker();
        startServer(other.entry("s-1", IN_SERVICE));
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(409, client().sendTask("t", "sell", "x").read().status(), "not after its response");
        assertEquals(1, other.received.size());
        assertEquals(405,
                client().write("PUT /api HTTP/1.1\r\nHost: a\r\nX-Txn: u\r\nContent-Length: 0\r\n\r\n")
                        .read().status());
    }
}
