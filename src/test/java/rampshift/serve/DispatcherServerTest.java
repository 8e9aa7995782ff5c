package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioIoThread;
import rampshift.HttpMessage;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestDiscovery;
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.settings.Configuration;

/** A whole dispatcher between clients, workers and discovery, all on loopback. */
class DispatcherServerTest extends ServerTestBase {
    private static final String LIMITS = "{\"memory_mb\":192,\"sockets\":256}";

    private void serve(String... entries) throws Exception {
        node = node(null, list(true, entries), LIMITS);
    }

    private static ServerScript good() {
        return (task, line) -> line.respondDone(task, "ok");
    }

    // ---- the first list

    @Test
    void afterARestartNoTaskGoesByTheListHadBefore() throws Exception {
        TestServer drained = worker(good());
        TestServer stays = worker(good());
        TestServer slow = worker((message, line) -> {
            Thread.sleep(message.startLine().contains("index=") ? 900 : 400);
            String body = list(true, drained.entry("s-1", "terminating"), stays.entry("s-2", "in_service"))
                    .replace("REV", "9");
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        });
        node = new DispatcherServer(
                Configuration
                        .read(TestPeers.configuration(slow, list(true, drained.entry("s-1", "in_service"),
                                stays.entry("s-2", "in_service")), LIMITS).getBytes(StandardCharsets.UTF_8)));
        for (int i = 0; i < 8; i++) {
            client().sendTask("t" + i, "look", "x");
        }
        until("all have come", () -> stays.received.size() >= 8);
        assertEquals(0, drained.received.size());
    }

    @Test
    void whereNoListServiceAnswersTheListHadBeforeGoesOn() throws Exception {
        TestServer worker = worker(good());
        TestServer silent = worker((message, line) -> {});
        node = new DispatcherServer(Configuration
                .read(TestPeers.configuration(silent, list(true, worker.entry("s-1", "in_service")),
                        LIMITS).getBytes(StandardCharsets.UTF_8)));
        TestConnection client = client();
        assertEquals(200, client.sendTask("t", "look", "x").read().status());
        assertTrue(silent.received.size() >= 2, "one failure may be a slow start's");
    }

    /**
     * What the agent was sent while it was silent counts as told, and it never answers the call that was
     * open.
     */
    @ParameterizedTest
    @CsvSource({"start,400", "middle,1000", "reload,400"})
    void anAgentThatWasSilentWithACallOpenIsHeardWithinTheGraceOnceItIsBack(String when, int grace)
            throws Exception {
        TestServer drained = worker(good());
        TestServer stays = worker(good());
        AtomicBoolean silent = new AtomicBoolean(!when.equals("middle"));
        AtomicInteger rev = new AtomicInteger(1);
        ServerScript script = (message, line) -> {
            String first = message.startLine();
            int known =
                    first.contains("index=") ? Integer.parseInt(first.replaceAll(".*index=(\\d+).*", "$1"))
                            : 0;
            long end = System.nanoTime() + 1_000_000
                    * Long.parseLong(known == 0 ? "0" : first.replaceAll(".*wait=(\\d+).*", "$1"));
            while (!silent.get() && rev.get() <= known && System.nanoTime() < end) {
                Thread.sleep(2);
            }
            if (silent.get()) {
                return;
            }
            String body = list(true, drained.entry("s-1", rev.get() == 1 ? "in_service" : "terminating"),
                    stays.entry("s-2", "in_service")).replace("REV", rev.toString());
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        };
        TestServer agent = worker(script);
        TestServer other = worker((message, line) -> {});
        String known = list(true, drained.entry("s-1", "in_service"), stays.entry("s-2", "in_service"));
        node = new DispatcherServer(graceful(when.equals("reload") ? other : agent, known, grace));
        assertEquals(200, client().sendTask("a", "look", "x").read().status(), "the old list goes on");
        if (when.equals("reload")) {
            node.reload(graceful(agent, known, grace));
        }
        until("it asks", () -> agent.received.size() > 0);
        if (when.equals("middle")) {
            until("it watches", () -> agent.received.size() > 1);
            silent.set(true);
            Thread.sleep(20);
        } else {
            assertEquals(200, client().sendTask("b", "look", "x").read().status());
            until("a call is open", () -> agent.received.size() > 2);
        }
        rev.set(2);
        silent.set(false);
        Thread.sleep(grace + 50);
        int before = drained.received.size();
        for (int i = 0; i < 8; i++) {
            assertEquals(200, client().sendTask("c" + i, "look", "x").read().status());
        }
        assertEquals(before, drained.received.size());
    }

    private static Configuration graceful(TestServer discovery, String known, int grace) throws IOException {
        return Configuration.read(TestPeers.configuration(discovery, known, LIMITS)
                .replace("\"WeightSource\"",
                        "\"Rules\":{\"StopSendingWithinMs\":" + grace + "},\"WeightSource\"")
                .getBytes(StandardCharsets.UTF_8));
    }

    // ---- the ordinary path

    @Test
    void whatGoesOnUnchangedIsTheBytesThatCame() throws Exception {
        TestServer worker = worker((task, line) -> line
                .respondWithProgress(
                        "{\"id\":\"t1\",\"state\":\"done\",\"result\":\"a\\u00e9\\n\u00c3\u00a9\\\"\"}"));
        serve(worker.entry("s-1", "in_service"));
        String body = "\r\n\r\nHTTP/1.1 200 OK\r\n\u0000\u00ff end";
        HttpMessage answer = client().write(
                "POST /api/;v=1/%2f%41?q=%20&&x HTTP/1.1\r\nHost: origin.svc\r\nx-txn: t1\r\nX-Lane: look\r\n"
                        + "X-Remaining: 4.5\r\nX-Labels: slots=2,memory=0.5,odd\r\nIdempotency-Key: K-\u00e9\r\nConnection: keep-alive\r\n"
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .read();
        HttpMessage sent = worker.received.get(0);
        assertEquals("POST /api/;v=1/%2f%41?q=%20&&x HTTP/1.1", sent.startLine());
        assertEquals("t1", sent.field("X-Txn"));
        assertEquals("K-\u00e9", sent.field("Idempotency-Key"));
        assertEquals(body, sent.text());
        double left = Double.parseDouble(sent.field("X-Remaining"));
        assertTrue(left > 3 && left <= 4.5, "time left: " + left);
        assertNull(sent.field("Connection"), "it belongs to the client's connection");
        assertEquals(200, answer.status());
        assertEquals("a\u00c3\u00a9\n\u00c3\u00a9\"", answer.text(),
                "escapes are read, other bytes untouched");
    }

    /** Met on the first calm day: every second task on a kept connection was never read. */
    @Test
    void manyTasksComeOverOneClientConnectionAndGoOverOneWorkerConnection() throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, client.sendTask("t" + i, "look", "x").read().status());
        }
        assertEquals(1, worker.connections.size(), "a connection is reused");
    }

    @Test
    void aBodyThatComesInPiecesOrInChunksIsTakenWhole() throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client();
        client.write(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: p\r\nX-Lane: look\r\nX-Remaining: 5\r\nContent-Length: 6\r\n\r\nab");
        Thread.sleep(20);
        assertEquals(200, client.write("cdef").read().status());
        client.write(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: c\r\nX-Lane: look\r\nX-Remaining: 5\r\nTransfer-Encoding: chunked\r\n"
                        + "Expect: 100-continue\r\n\r\n");
        assertEquals(100, client.read().status());
        assertEquals(200, client.write("3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n").read().status());
        assertEquals("abcdef", worker.received.get(0).text());
        assertEquals("abcdef", worker.received.get(1).text());
        assertEquals("6", worker.received.get(1).field("Content-Length"));
    }

    /** Met in a trace of tasks that never began: they had no body, and none of their bytes was written. */
    @ParameterizedTest
    @ValueSource(strings = {"look", "sell"})
    void aTaskWithoutABodyIsSent(String type) throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        assertEquals(200, client().sendTask("t", type, "").read().status());
    }

    @Test
    void aTaskSentWhileTheLastIsUnderWayWaitsItsTurn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, task.field("X-Txn"));
        });
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client().sendTask("a", "look", "1").sendTask("b", "look", "2");
        until("the first is out", () -> worker.received.size() == 1);
        go.countDown();
        assertEquals("a", client.read().text());
        assertEquals("b", client.read().text());
    }

    /** Met at a site with tenants: all tasks were counted as the first one's, and held to its share. */
    @Test
    void eachTenantIsHeldToItsOwnShare() throws Exception {
        TestServer worker = worker((task, line) -> line.respondStatus(503, "X-Turned-Away: 1\r\n"));
        node = new DispatcherServer(Configuration
                .read(TestPeers.configuration(null, list(true, worker.entry("s-1", "in_service")), LIMITS)
                        .replace("\"WeightSource\"",
                                "\"ExcessEarnings\":0,\"Tenants\":[{\"Name\":\"much\",\"QuotaPerS\":1},"
                                        + "{\"Name\":\"little\",\"QuotaPerS\":1}],\"WeightSource\"")
                        .getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        for (int i = 0; i < 60; i++) {
            assertEquals(503, of(i % 6 == 0 ? "little" : "much", "t" + i).status());
        }
        int before = worker.received.size();
        assertEquals(503, of("much", "beyond").status());
        assertEquals(before, worker.received.size(), "room is short, and it is beyond its share");
        assertEquals(503, of("little", "within").status());
        assertTrue(worker.received.size() > before, "the others' traffic takes nothing off");
        assertEquals(503, of("nobody", "unknown").status());
        assertEquals("unknown", worker.received.get(worker.received.size() - 1).field("X-Txn"),
                "who is not named has no share to go beyond");
    }

    private HttpMessage of(String tenant, String txn) throws IOException {
        return client().write("POST /api HTTP/1.1\r\nHost: a\r\nX-Org: " + tenant + "\r\nX-Txn: " + txn
                + "\r\nX-Lane: look\r\nX-Remaining: 5\r\nContent-Length: 0\r\n\r\n").read();
    }

    // ---- never ran, or may have run

    @ParameterizedTest
    @ValueSource(strings = {"503", "504", "returned"})
    void aTaskWithSideEffectsThatWasTurnedAwayGoesToTheNext(String how) throws Exception {
        List<String> sent = Collections.synchronizedList(new ArrayList<>());
        ServerScript script = (task, line) -> {
            sent.add(task.field("X-Txn"));
            if (sent.size() > 1) {
                line.respondDone(task, "ok");
            } else if (how.equals("returned")) {
                line.respondWithProgress("{\"id\":\"t\",\"state\":\"returned\",\"load\":{\"x0\":0}}");
            } else {
                line.respondStatus(Integer.parseInt(how), "X-Turned-Away: 1\r\nX-Pressure: {\"x0\":0}\r\n");
            }
        };
        serve(worker(script).entry("s-1", "in_service"), worker(script).entry("s-2", "in_service"));
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(2, sent.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "500", "503", "429", "404", "failed", "lost", "closes", "half", "no JSON", "another task",
            "no id", "ends early"})
    void aTaskWithSideEffectsThatMayHaveRunIsNeitherSentAgainNorBounced(String how) throws Exception {
        ServerScript script = (task, line) -> {
            switch (how) {
                case "500", "503", "429", "404" -> line.respondStatus(Integer.parseInt(how), "");
                case "failed", "lost" -> line.respondWithProgress("{\"id\":\"t\",\"state\":\"" + how + "\"}");
                case "closes" -> line.close();
                case "half" -> {
                    line.write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"id\":\"t\",\"sta");
                    line.close();
                }
                case "no JSON" -> line.respondWithProgress("{\"id\":\"t\",\"state\"");
                case "another task" ->
                    line.respondWithProgress("{\"id\":\"u\",\"state\":\"done\",\"result\":\"not yours\"}");
                case "no id" -> line.respondWithProgress("{\"state\":\"done\",\"result\":\"whose\"}");
                default -> line.respondWithProgress("{\"id\":\"t\",\"state\":\"started\"}",
                        "{\"id\":\"t\",\"state\":\"what\",\"odd\":[1]}");
            }
        };
        TestServer one = worker(script);
        TestServer two = worker(script);
        serve(one.entry("s-1", "in_service"), two.entry("s-2", "in_service"));
        assertEquals(504, client().sendTask("t", "sell", "x").read().status());
        assertEquals(1, one.received.size() + two.received.size());
    }

    @Test
    void whereNobodyListensTheTaskNeverRanAndGoesToTheNext() throws Exception {
        TestServer gone = worker(good());
        gone.close();
        TestServer there = worker(good());
        serve(gone.entry("s-1", "in_service"), there.entry("s-2", "in_service"));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, client().sendTask("t" + i, "sell", "x").read().status());
        }
    }

    @Test
    void theClientsLeavingClosesTheWorkersConnection() throws Exception {
        TestServer worker =
                worker((task, line) -> line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client().sendTask("t", "look", "x");
        until("it is out", () -> worker.received.size() == 1);
        assertEquals(0, worker.ended.size());
        client.close();
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    @Test
    void aTaskIsAbandonedBeforeItsExpiryAndItsConnectionClosed() throws Exception {
        TestServer worker = worker((task, line) -> {});
        node = new DispatcherServer(Configuration
                .read(TestPeers.configuration(null, list(true, worker.entry("s-1", "in_service")), LIMITS)
                        .replace("\"ExpiryMs\":600", "\"ExpiryMs\":3000").getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        long begun = System.nanoTime();
        assertEquals(504, client().sendTask("t", "flash", "").read().status());
        long ms = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(ms > 2000, "it was waited for, less what it may have lain unread: " + ms);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    @Test
    void anIdleConnectionIsDroppedBeforeTheWorkerWould() throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        assertEquals(200, client().sendTask("t", "look", "x").read().status());
        until("it was dropped from this side", () -> worker.ended.size() == 1);
    }

    // ---- bad input

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
            "501 | Transfer-Encoding: chunks | X-Lane: look | X-Remaining: 5",
    })
    void badHeadersGetAPlainAnswerAndTheNextTaskAGoodOne(int status, String a, String b, String c)
            throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        String length = a.startsWith("Content") || a.startsWith("Transfer") ? "" : "Content-Length: 1\r\n";
        String id = a.startsWith("X-Labels") ? "X-Txn: t\r\n" : "";
        String tail = a.startsWith("Transfer") ? "" : "x";
        int got = client()
                .write("POST /api HTTP/1.1\r\nHost: a\r\n" + id + a + "\r\n" + b + "\r\n" + c + "\r\n"
                        + length + "\r\n" + tail)
                .read().status();
        assertEquals(status, got);
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
        assertEquals(1, worker.received.size(), "nothing of the bad one was sent");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0000\u0001\u0002 nonsense\r\n\r\n", "GET\r\n\r\n",
            "POST /api HTTP/1.1\r\nno colon\r\n\r\n", "POST /a"})
    void whatIsNoHttpDoesNoHarm(String bytes) throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        client().write(bytes);
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
    }

    /**
     * Met with bad clients: such calls went to workers, stalled until their senders left, or ended in a
     * reset.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "400 | Transfer-Encoding: chunked | zz~abc~0~~",
            "400 | Content-Length: 3          | abcdef",
            "413 | Content-Length: 60000000   | BIG",
            "408 | Content-Length: 600        | half",
            "408 | X-More:                    | HALF HEAD",
    })
    void whatIsNotWholeAndSoundGetsAnErrorInTimeAndReachesNoWorker(int status, String length, String body)
            throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        long begun = System.nanoTime();
        String end = body.equals("HALF HEAD") ? ""
                : "\r\n\r\n" + (body.equals("BIG") ? "x".repeat(60_000_000) : body.replace("~", "\r\n"));
        TestConnection client = client()
                .write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                        + length + end);
        assertEquals(status, client.read().status());
        assertTrue(client.closedByPeer());
        assertTrue(System.nanoTime() - begun < 3_000_000_000L, "in time");
        assertEquals(200, client().sendTask("good", "look", "x").read().status());
        assertEquals(1, worker.received.size(), "nothing of the bad one was sent");
    }

    /**
     * Met on an overloaded core: clients were closed as silent whose whole tasks lay unread for want of time.
     */
    @Test
    void aClientWhoseTaskLiesUnreadWhileTheThreadIsLateIsAnswered() throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client();
        until("it is taken in", () -> count("client_connections") >= 2);
        CountDownLatch late = new CountDownLatch(1);
        XnioIoThread thread = (XnioIoThread) Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().startsWith("io I/O") && t.isAlive())
                .max(Comparator.comparingLong(Thread::getId)).orElseThrow();
        thread.execute(() -> {
            late.countDown();
            for (long end = System.nanoTime() + 2_600_000_000L; System.nanoTime() < end;) {
                LockSupport.parkNanos(end - System.nanoTime());
            }
        });
        late.await();
        assertEquals(200, client.sendTask("t", "sell", "x").read().status());
    }

    @Test
    void bytesBehindACallThatIsUnderWayEndIt() throws Exception {
        TestServer worker = worker((task, line) -> {});
        serve(worker.entry("s-1", "in_service"));
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        assertEquals(400, client.write("and more").read().status());
        until("the worker's connection ended", () -> worker.ended.size() == 1);
    }

    /** Met with 300 silent clients at a time: usual ones waited behind them for seconds. */
    @Test
    void clientsThatSendNoTasksLeaveRoomAtOnceAndAreClosedInTime() throws Exception {
        TestServer worker = worker(good());
        serve(worker.entry("s-1", "in_service"));
        TestConnection usual = client();
        assertEquals(200, usual.sendTask("a", "look", "x").read().status());
        List<TestConnection> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(i % 2 == 0 ? client() : client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
        long begun = System.nanoTime();
        assertEquals(200, client().sendTask("b", "look", "x").read().status());
        assertTrue(System.nanoTime() - begun < 1_000_000_000L, "it did not wait for them");
        assertEquals(200, usual.sendTask("c", "look", "x").read().status(),
                "nor was a known one closed for them");
        for (TestConnection line : silent) {
            assertTrue(line.closedByPeer());
        }
        assertTrue(System.nanoTime() - begun < 3_000_000_000L, "in time");
    }

    @Test
    void aTaskThatIsInHandIsNotTakenTwice() throws Exception {
        TestServer worker = worker((task, line) -> {});
        serve(worker.entry("s-1", "in_service"));
        client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        assertEquals(409, client().sendTask("t", "sell", "x").read().status());
        TestServer other = worker(good());
        node = node(null, list(true, other.entry("s-1", "in_service")), LIMITS);
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(409, client().sendTask("t", "sell", "x").read().status(), "nor after its answer");
        assertEquals(1, other.received.size());
        assertEquals(405,
                client().write("PUT /api HTTP/1.1\r\nHost: a\r\nX-Txn: u\r\nContent-Length: 0\r\n\r\n").read()
                        .status());
    }

    @ParameterizedTest
    @CsvSource({"192,104,1", "1,256,60000"})
    void whatIsTooMuchForSocketsOrMemoryIsBouncedAndNobodyIsLeftUnheard(int memory, int sockets, int size)
            throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, "ok");
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")),
                "{\"memory_mb\":" + memory + ",\"sockets\":" + sockets + "}");
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(client().sendTask("t" + i, "sell", "x".repeat(size)));
        }
        until("some were bounced", () -> count("bounced") + count("bounced_full") > 0);
        go.countDown();
        int bounced = 0;
        for (TestConnection client : clients) {
            int status = client.read().status();
            assertTrue(status == 200 || status == 503, "status " + status);
            bounced += status == 503 ? 1 : 0;
        }
        assertTrue(bounced > 0 && bounced < 60, "bounced " + bounced);
        assertEquals(200, client().sendTask("good", "sell", "x").read().status());
    }

    /** Met with 570 clients that stalled: their half bodies filled the heap. */
    @Test
    void bodiesThatStallLeaveRoomForSmallTasks() throws Exception {
        TestServer worker = worker(good());
        node = node(null, list(true, worker.entry("s-1", "in_service")), "{\"memory_mb\":1,\"sockets\":256}");
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Lane: sell\r\nX-Remaining: 5\r\nContent-Length: 60000\r\nX-Txn: ";
        TestConnection stalls = client().write(head + "a\r\n\r\nhalf");
        assertEquals(200, client().sendTask("small", "sell", "x").read().status());
        assertEquals(503, client().write(head + "b\r\n\r\nhalf").read().status());
        assertEquals(200, stalls.write("x".repeat(60_000 - 4)).read().status());
        assertEquals(200, client().write(head + "c\r\n\r\n" + "x".repeat(60_000)).read().status());
    }

    // ---- lists

    @Test
    void listsAreFollowedThroughBreaksAndWorkersMoveAndGo() throws Exception {
        TestServer old = worker(good());
        TestServer moved = worker(good());
        List<String> versions = Collections.synchronizedList(new ArrayList<>());
        versions.add(list(true, old.entry("s-1", "in_service")));
        TestServer discovery = TestDiscovery.start(versions);
        open.add(discovery);
        node = node(discovery, list(true), LIMITS);
        until("ready", () -> client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status() == 200);
        assertEquals(200, client().sendTask("a", "look", "x").read().status());
        versions.add(list(false, moved.entry("s-1", "in_service")));
        until("the other address is used",
                () -> client().sendTask("b" + System.nanoTime(), "look", "x").read().status() == 200
                        && !moved.received.isEmpty());
        discovery.connections.get(discovery.connections.size() - 1).close();
        versions.add(list(false, moved.entry("s-1", "terminating"), old.entry("s-2", "in_service")));
        int before = old.received.size();
        until("the new worker is used after a break",
                () -> client().sendTask("c" + System.nanoTime(), "look", "x").read().status() == 200
                        && old.received.size() > before);
        versions.add(list(true));
        until("nobody is left",
                () -> client().sendTask("d" + System.nanoTime(), "look", "x").read().status() == 503);
    }

    /**
     * The version that the old service counted is far above the new one's, where it would hide all changes.
     */
    @Test
    void aNewConfigurationMovesTheWatchAndNoTaskNotices() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer first = worker((task, line) -> {
            go.await();
            line.respondDone(task, "ok");
        });
        TestServer second = worker(good());
        String old = list(true, first.entry("s-1", "in_service")).replace("REV", "5");
        List<String> now = Collections
                .synchronizedList(new ArrayList<>(List.of(list(true, first.entry("s-1", "in_service")))));
        TestServer oldService = worker((message, line) -> {
            if (!message.startLine().contains("index=")) {
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + old.length() + "\r\n\r\n" + old);
            }
        });
        TestServer newService = TestDiscovery.start(now);
        open.add(newService);
        node = node(oldService, list(true), LIMITS);
        until("the list",
                () -> client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status() == 200);
        TestConnection waits = client().sendTask("a", "sell", "x");
        until("it is out", () -> first.received.size() == 1);
        for (int i = 0; i < 3; i++) {
            node.reload(Configuration.read(
                    TestPeers.configuration(newService, list(true), LIMITS)
                            .getBytes(StandardCharsets.UTF_8)));
        }
        until("the old watch has ended, the new one begun",
                () -> oldService.ended.size() == 1 && newService.received.size() >= 2);
        now.add(list(false, first.entry("s-1", "terminating"), second.entry("s-2", "in_service")));
        until("the new service is followed",
                () -> newService.received.stream().anyMatch(m -> m.startLine().contains("index=2")));
        assertEquals(200, client().sendTask("b", "sell", "x").read().status());
        assertEquals(1, second.received.size());
        go.countDown();
        assertEquals(200, waits.read().status());
        assertEquals(3, count("reloads"));
    }

    @Test
    void aListServiceThatTalksNonsenseIsAskedAgainAndTheListStays() throws Exception {
        TestServer known = worker(good());
        TestServer later = worker(good());
        String bad = known.entry("s-1", "in_service").replace("127.0.0.1", "nowhere");
        List<String> answers = List.of("{\"rev\":", "[]", "{\"rev\":1}",
                list(true, "7", "{}", known.entry("s-1", "in_service")),
                list(true, later.entry("s-2", "in_service"), later.entry("s-3", "what"), bad));
        AtomicInteger asked = new AtomicInteger();
        TestServer discovery = worker((message, line) -> {
            int number = asked.getAndIncrement();
            if (number >= answers.size()) {
                return;     // nothing new any more
            }
            String body = answers.get(number).replace("REV", "1");
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        });
        node = node(discovery, list(true, known.entry("s-1", "in_service")), LIMITS);
        assertEquals(200, client().sendTask("a", "sell", "x").read().status());
        until("the good list is followed",
                () -> client().sendTask("b" + System.nanoTime(), "sell", "x").read().status() == 200
                        && !later.received.isEmpty());
        until("it is watched on", () -> asked.get() > answers.size());
    }

    @Test
    void withoutAListItIsNotReady() throws Exception {
        node = node(null, list(true), LIMITS);
        assertEquals(503, client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status());
    }

    // ---- the stop

    /** Met on planned restarts: clients that lost their connections at once found no other dispatcher. */
    @Test
    void aStopServesOnOpenConnectionsThenEndsThemAndLeavesNobodyWithoutAnAnswer() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            if (task.field("X-Txn").equals("late")) {
                line.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"id\":\"late\",\"state\":\"started\"}\n\r\n");
            } else {
                go.await();
                line.respondDone(task, "ok");
            }
        });
        serve(worker.entry("s-1", "in_service"));
        TestConnection idle = client();
        TestConnection before = client().sendTask("a", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        long begun = System.nanoTime();
        Thread stop = new Thread(node::stop);
        stop.start();
        until("it stops", () -> idle.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status() == 503);
        assertEquals(503, client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status(),
                "new clients are taken");
        TestConnection late = client().sendTask("late", "sell", "x");
        idle.sendTask("b", "look", "x");
        until("they are out too", () -> worker.received.size() == 3);
        go.countDown();
        HttpMessage answer = before.read();
        assertEquals(200, answer.status());
        assertNull(answer.field("Connection"), "the connection stays for now");
        assertEquals(200, idle.read().status());
        assertEquals(200, before.sendTask("c", "look", "x").read().status());
        assertEquals(504, late.read().status(), "answered before the kill");
        assertTrue(idle.closedByPeer(), "a connection ends between tasks");
        assertTrue((System.nanoTime() - begun) / 1_000_000 > 3000, "not sooner than it must");
        stop.join(20_000);
        assertTrue((System.nanoTime() - begun) / 1_000_000 < 3700, "ended before the kill");
    }

    /**
     * Placement on real connections: the one allowed worker is listed in another zone, while the other zone
     * has room all along.
     */
    @Test
    void aBoundTypeGoesOnlyToItsZoneAlsoWhenItsOnlyWorkerIsListedElsewhere() throws Exception {
        // Starts are not told: runs of a tenth of a millisecond count as half a tick, each worker would look
        // five times too slow, and a
        // type that has never run would be bounced.
        TestServer here = worker((task, line) -> line
                .respondWithProgress(
                        "{\"id\":\"" + task.field("X-Txn") + "\",\"state\":\"done\",\"result\":\"here\"}"));
        TestServer there = worker((task, line) -> line
                .respondWithProgress(
                        "{\"id\":\"" + task.field("X-Txn") + "\",\"state\":\"done\",\"result\":\"there\"}"));
        String first = list(true, here.entry("s-1", "in_service"),
                there.entry("s-2", "in_service").replace("\"az\":\"a\"", "\"az\":\"b\""));
        List<String> versions = Collections.synchronizedList(new ArrayList<>(List.of(first)));
        TestServer agent = TestDiscovery.start(versions);
        open.add(agent);
        node = new DispatcherServer(Configuration
                .read(TestPeers.configuration(agent, first, "{\"memory_mb\":192,\"sockets\":1024}")
                        .replace("\"Zones\":[\"a\"]", "\"Zones\":[\"a\",\"b\"]")
                        .replace("{\"Name\":\"look\"", "{\"RunsIn\":[1],\"Name\":\"look\"")
                        .getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        for (int i = 0; i < 10; i++) {
            assertEquals("there", client().sendTask("t" + i, "look", "x").read().text());
        }
        versions.add(list(false, there.entry("s-2", "in_service")));
        int[] bounced = {0};
        until("given up at once, where no worker is left", () -> {
            HttpMessage answer =
                    client().sendTask("v" + there.received.size() + "-" + bounced[0], "look", "x").read();
            bounced[0] += answer.status() == 503 ? 1 : 0;
            assertTrue(answer.status() == 503 || bounced[0] == 0 && answer.text().equals("there"),
                    answer.status() + " " + answer.text());
            return bounced[0] == 10;
        });
        assertEquals(200, client().sendTask("u", "sell", "x").read().status(), "others go anywhere");
        assertEquals(0, here.received.stream().filter(m -> "look".equals(m.field("X-Lane"))).count());
    }
}
