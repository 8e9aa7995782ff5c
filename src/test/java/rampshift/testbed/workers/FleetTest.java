package rampshift.testbed.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.HttpMessage;
import rampshift.TestConnection;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.faults.FaultInjector;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/** Tests emulated workers and discovery agents over their sockets, with and without faults. */
class FleetTest {
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final String WHOLE_LIST_REQUEST = "GET /v1/endpoints HTTP/1.1\r\n\r\n";

    @TempDir
    Path folder;
    private final List<TestConnection> connections = new ArrayList<>();
    private EventLog eventLog;
    private Fleet fleet;

    private void open(String more) throws IOException {
        FleetPlan plan = FleetPlanReader.read("f.toml", """
                [[machine]]
                name = "m"
                slots = 1
                waiting = 1
                [[site]]
                name = "a"
                workers = [{ machine = "m", count = 3 }]
                [[site]]
                name = "b"
                [[type]]
                name = "look"
                [[type]]
                name = "mark"
                effect = "fingerprinted"
                group = "cell"
                [reports]
                figures = ["free-slots", "waiting"]
                refresh = "0ms"
                """ + more, null);
        eventLog = new EventLog(folder.resolve("fleet.ledger"));
        fleet = new Fleet(plan, 1, eventLog);
        new FaultInjector(plan, fleet, null, eventLog).start(1, EventClock.now());
    }

    @AfterEach
    void close() throws IOException {
        for (TestConnection connection : connections) {
            connection.close();
        }
        fleet.close();
        eventLog.close();
    }

    private JsonNode target(int dispatcher, int worker) throws IOException {
        return new ObjectMapper().readTree(fleet.list(dispatcher)).path("targets").get(worker);
    }

    private int port(int dispatcher, int worker) throws IOException {
        return Integer.parseInt(target(dispatcher, worker).path("endpoint").asText().split(":")[1]);
    }

    private TestConnection dial(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 300);
        TestConnection connection = new TestConnection(socket);
        connections.add(connection);
        return connection;
    }

    private TestConnection sendTask(TestConnection connection, String transactionId, String type, int workMs)
            throws IOException {
        String body = "work=" + workMs * 1000 + ",1.0,0.0;";
        return connection.write("POST /api HTTP/1.1\r\nX-Txn: " + transactionId + "\r\nX-Lane: " + type
                + "\r\nIdempotency-Key: k\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private String eventLogText() throws IOException {
        return Files.readString(folder.resolve("fleet.ledger"));
    }

    @Test
    void aTaskRunsAndItsResponseHoldsItsStatesAndTheLoad() throws Exception {
        open("");
        String response = sendTask(dial(port(0, 0)), "t", "look", 20).readUntil(LAST_CHUNK);
        assertTrue(response.contains("{\"id\":\"t\",\"from\":\"a-m-1\",\"state\":\"started\"}"), response);
        String load = "\\{\"x0\":1.00,\"queue\":0\\}";
        assertTrue(response.matches(
                "(?s).*\"state\":\"done\",\"load\":" + load + ",\"result\":\"a-m-1/t/\\d+\".*"), response);
        until("the task is in the event log", () -> eventLogText().contains(" done a-m-1 t a-m-1/t/"));
        assertTrue(eventLogText().contains(" took a-m-1 0 t k look "), eventLogText());
    }

    @Test
    void aTaskIsRejectedWhenTheQueueIsFullAndAClosedConnectionCancelsItsJob() throws Exception {
        open("");
        TestConnection first = sendTask(dial(port(0, 0)), "a", "look", 10_000);
        first.readUntil("started");
        TestConnection second = sendTask(dial(port(0, 0)), "b", "look", 10_000);
        until("the second task is queued", () -> eventLogText().contains(" took a-m-1 0 b "));
        HttpMessage rejected = sendTask(dial(port(0, 0)), "c", "look", 1).read();
        assertEquals(503, rejected.status());
        assertEquals("1", rejected.field("X-Turned-Away"));
        assertEquals("{\"x0\":0.00,\"queue\":1}", rejected.field("X-Pressure"));
        first.close();
        assertTrue(second.readUntil("started").contains("\"id\":\"b\""),
                "the queued task starts instead");
        until("the cancellation is logged", () -> eventLogText().contains(" off a-m-1 a begun"));
        assertFalse(eventLogText().contains(" began a-m-1 c"));
    }

    @Test
    void probesReturnTheLoadAndInvalidTasksAreRejected() throws Exception {
        open("");
        TestConnection connection = dial(port(0, 0));
        assertEquals("{\"x0\":1.00,\"queue\":0}",
                connection.write("GET /status/load HTTP/1.1\r\n\r\n").read().text());
        assertEquals(200, connection.write("GET /health HTTP/1.1\r\n\r\n").read().status());
        assertEquals(404, connection.write("GET /else HTTP/1.1\r\n\r\n").read().status());
        assertEquals(400, sendTask(connection, "t", "nothing", 1).read().status());
    }

    @Test
    void aRepeatedTaskHasNoEffectWithinItsCellButRunsOutside() throws Exception {
        open("");
        for (int worker = 0; worker < 3; worker++) {
            sendTask(dial(port(0, worker)), "t" + worker, "mark", 1).readUntil(LAST_CHUNK);
        }
        until("all tasks are logged", () -> eventLogText().contains(" done a-m-3 t2"));
        assertTrue(eventLogText().contains(" began a-m-1 t0 k mark"));
        assertTrue(eventLogText().contains(" dropped a-m-2 t1 k mark"), "a worker of the same cell");
        assertTrue(eventLogText().contains(" began a-m-3 t2 k mark"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', value = {
            "what = \"errors\"; rate = 1        | \"state\":\"started\" | HTTP/1.1 500",
            "what = \"reset-before\"; rate = 1  | took                  | [RESET]",
            "what = \"reset-after\"; rate = 1   | done                  | [RESET]",
            "what = \"reset-within\"; rate = 1  | \"result\":\"a-m-1/t  | [RESET]",
            "what = \"half-answer\"; rate = 1   | \"result\":\"a-m-1/t  | [END]",
            "what = \"silent\"; rate = 1        | HTTP                  | [SILENCE]",
            "what = \"hang\"                    | HTTP                  | [SILENCE]",
            "what = \"neighbour\"; rate = 0.99  | done                  | [SILENCE]",
            "what = \"slow\"; factor = 200      | done                  | [SILENCE]",
            "what = \"slow-bytes\"; delay = \"500ms\" | done               | [SILENCE]",
    })
    void eachFaultTakesEffectAndEnds(String fault, String absentText, String expectedText) throws Exception {
        open("[[trouble]]\nnames = [\"a-m-1\"]\nlength = \"700ms\"\n" + fault.replace("; ", "\n"));
        Thread.sleep(60);
        TestConnection connection = dial(port(0, 0)).readTimeout(400);
        String response = sendTask(connection, "t", "look", 10).readUntil(LAST_CHUNK);
        assertTrue(response.contains(expectedText), response);
        assertFalse(response.contains(absentText), response);
        until("the fault has ended", () -> eventLogText().contains(" ends a-m-1"));
        String responseAfterFault = sendTask(dial(port(0, 0)), "u", "look", 10).readUntil(LAST_CHUNK);
        assertTrue(responseAfterFault.contains("\"result\":\"a-m-1/u"), responseAfterFault);
    }

    @Test
    void aResetBeforeTheTaskIsCompleteIsNotLoggedAsATask() throws Exception {
        open("[[trouble]]\nwhat = \"reset-before\"\nrate = 1\nnames = [\"a-m-1\"]");
        Thread.sleep(60);
        assertEquals("[RESET]", dial(port(0, 0)).write("POST /api HTTP/1.1\r\n").readUntil("x"));
        until("the reset is logged", () -> eventLogText().contains(" part a-m-1 0"));
    }

    @Test
    void aCutBlocksConnectionsWithoutResetsUntilItEnds() throws Exception {
        open("[[trouble]]\nwhat = \"cut\"\nsite = \"b\"\nat = \"300ms\"\nlength = \"900ms\"");
        TestConnection openConnection = sendTask(dial(port(1, 0)), "t", "look", 500);
        openConnection.readUntil("started");
        TestConnection idle = dial(port(1, 0));
        until("the link is cut", () -> eventLogText().contains("cut begins"));
        Thread.sleep(50);
        long writtenAt = EventClock.now().micros();
        sendTask(idle, "w", "look", 1);
        int port = port(1, 0);
        assertThrows(SocketTimeoutException.class, () -> dial(port), "no new connection is established");
        assertFalse(openConnection.readTimeout(300).readUntil("[no end]").contains("done"),
                "an open connection receives nothing");
        assertTrue(sendTask(dial(port(0, 1)), "u", "look", 1).readUntil(LAST_CHUNK).contains("a-m-2/u"),
                "links within the site are not cut");
        assertTrue(openConnection.readTimeout(5000).readUntil("done").contains("done"),
                "bytes that were held back arrive after the cut");
        until("the task written during the cut arrives", () -> eventLogText().contains(" 1 w "));
        String[] eventFields =
                eventLogText().lines().filter(line -> line.contains(" took ") && line.contains(" 1 w "))
                        .findFirst()
                        .orElseThrow().split(" ");
        assertTrue(
                Long.parseLong(eventFields[7]) <= writtenAt
                        && Long.parseLong(eventFields[0]) > writtenAt + 300_000,
                "earliest send time, write and arrival: " + eventFields[7] + ", " + writtenAt + ", "
                        + eventFields[0]);
        until("new connections are established again", () -> {
            try {
                return sendTask(dial(port(1, 0)), "v", "look", 1).readUntil(LAST_CHUNK).contains("a-m-1/v");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    void aCrashResetsConnectionsAndTheRestartedWorkerIsColdAndCrashesWhenOverloaded() throws Exception {
        open("""
                [cold]
                from = 0.1
                warm = "60s"
                tip = 4
                fall = "200ms"
                [[trouble]]
                what = "crash"
                names = ["a-m-1"]
                at = "200ms"
                length = "300ms"
                [roster]
                delay = "10ms"
                """);
        TestConnection connection = sendTask(dial(port(0, 0)), "t", "look", 10_000);
        connection.readUntil("started");
        assertTrue(connection.readUntil("never").endsWith("[RESET]"));
        assertThrows(IOException.class, () -> dial(port(0, 0)).readUntil("x").charAt(99),
                "connections are refused");
        until("the worker is listed with a new start time",
                () -> fleet.list(0).matches(".*a-m-1.*\"boot_ms\":[1-9].*"));
        until("the worker listens", () -> isHealthy("a-m-1"));
        int port = portOf("a-m-1");
        TestConnection first = sendTask(dial(port), "u", "look", 70);
        first.readUntil("started");
        TestConnection second = sendTask(dial(port), "v", "look", 70);
        assertTrue(second.readUntil("never").contains("[RESET]"),
                "140 ms of work in 200 ms at a tenth of the speed");
        assertTrue(first.readUntil("never").contains("[RESET]"));
        until("the crash is logged", () -> eventLogText().contains(" fell a-m-1"));
        assertThrows(IOException.class, () -> dial(port));
    }

    private boolean isHealthy(String uid) {
        try {
            return dial(portOf(uid)).write("GET /health HTTP/1.1\r\n\r\n").read().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private int portOf(String uid) throws IOException {
        for (JsonNode target : new ObjectMapper().readTree(fleet.list(0)).path("targets")) {
            if (target.path("uid").asText().equals(uid)) {
                return Integer.parseInt(target.path("endpoint").asText().split(":")[1]);
            }
        }
        throw new IOException("worker is not in the endpoint list");
    }

    @Test
    void idleConnectionsAreClosedAndNewOnesDelayTheFirstTask() throws Exception {
        open("[workers]\nidle = \"200ms\"\nconnection_cost = \"150ms\"");
        TestConnection connection = dial(port(0, 0));
        long start = System.nanoTime();
        sendTask(connection, "t", "look", 1).readUntil(LAST_CHUNK);
        long firstEnd = System.nanoTime();
        sendTask(connection, "u", "look", 1).readUntil(LAST_CHUNK);
        assertTrue(firstEnd - start > 150_000_000L, "the first task includes the connection cost");
        assertTrue(System.nanoTime() - firstEnd < 140_000_000L, "the second task does not");
        assertTrue(connection.closedByPeer());
    }

    @Test
    void discoveryDelaysUpdatesAndCanBeSilentOrStale() throws Exception {
        open("""
                [roster]
                delay = "150ms"
                [[trouble]]
                what = "drain"
                names = ["a-m-1"]
                at = "100ms"
                length = "60s"
                [[trouble]]
                what = "roster-silent"
                at = "600ms"
                length = "400ms"
                [[trouble]]
                what = "roster-old"
                delay = "30s"
                at = "1200ms"
                length = "400ms"
                """);
        TestConnection watch = dial(fleet.agentPort(0));
        assertDrainIsPublishedWithDelay(watch);
        until("the agent is silent", () -> eventLogText().contains("roster_silent begins"));
        watch.readTimeout(200).write(WHOLE_LIST_REQUEST);
        assertEquals("[SILENCE]", watch.readUntil("HTTP"));
        until("lists are stale", () -> eventLogText().contains("roster_old begins"));
        assertStaleListIsSentOnce(dial(fleet.agentPort(0)));
        until("lists are current again", () -> eventLogText().contains("roster_old ends"));
        assertTrue(dial(fleet.agentPort(0)).write(WHOLE_LIST_REQUEST).read().text().contains("terminating"));
        until("the drain that was sent is logged", () -> eventLogText().contains(" told 0 a-m-1 draining"));
    }

    private static String poll(TestConnection watch, int version, int waitMs) throws IOException {
        return watch.write("GET /v1/endpoints?index=" + version + "&wait=" + waitMs + " HTTP/1.1\r\n\r\n")
                .read()
                .text();
    }

    private static void assertDrainIsPublishedWithDelay(TestConnection watch) throws IOException {
        String wholeList = watch.write(WHOLE_LIST_REQUEST).read().text();
        assertTrue(wholeList.startsWith("{\"rev\":1,\"all\":true") && wholeList.contains("a-m-3"), wholeList);
        long askedAt = System.nanoTime();
        String update = poll(watch, 1, 20_000);
        assertTrue(update.startsWith("{\"rev\":2,\"all\":false") && update.contains("terminating"), update);
        assertTrue(System.nanoTime() - askedAt > 50_000_000L, "the list is delayed");
        assertTrue(poll(watch, 2, 50).endsWith("\"targets\":[]}"), "no further change");
    }

    private static void assertStaleListIsSentOnce(TestConnection watch) throws IOException {
        String staleList = poll(watch, 2, 20_000);
        assertTrue(staleList.contains("\"all\":true") && !staleList.contains("terminating"), staleList);
        assertTrue(poll(watch, 2, 50).endsWith("\"targets\":[]}"), "the stale list is sent only once");
    }

    @Test
    void aThousandWorkersRunInOneProcess() throws Exception {
        open("[[site]]\nname = \"c\"\ndispatchers = 0\nworkers = [{ machine = \"m\", count = 1000 }]");
        assertTrue(
                sendTask(dial(port(0, 1002)), "t", "look", 1).readUntil(LAST_CHUNK).contains("c-m-1000/t"));
    }
}
