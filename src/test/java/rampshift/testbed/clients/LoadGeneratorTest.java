package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.HttpMessage;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestServer;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Span;

/** Tests clients against one emulated dispatcher, whose responses each test scripts. */
class LoadGeneratorTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nw/t/0";
    private static final Span IDLE_TIMEOUT = Span.ofMillis(5000);
    private static final ServerScript FINISH = (request, connection) -> respondOk(connection, "w/t/0");

    @TempDir
    Path folder;
    private TestServer dispatcher;

    /**
     * Runs a plan for half a second, with ten evenly spaced tasks a second unless it has other arrivals.
     *
     * @param effect the effect of the only traffic type
     * @param more the text that follows that type's settings in the plan
     * @param script handles the tasks that the dispatcher receives; it responds to health checks with 200
     * @return the statistics file
     */
    private JsonNode run(String effect, String more, ServerScript script) throws Exception {
        dispatcher = new TestServer((request, connection) -> {
            if (request.startLine().startsWith("GET")) {
                respondOk(connection, "ready");
            } else {
                script.handle(request, connection);
            }
        });
        FleetPlan plan = FleetPlanReader.read("f.toml", """
                length = "500ms"
                [[machine]]
                name = "m"
                [[site]]
                name = "a"
                [[type]]
                name = "x"
                effect = "%s"
                earnings = 3
                expiry = "600ms"
                """.formatted(effect) + more + (more.contains("[arrivals]") ? "" : """

                [arrivals]
                rate = 10
                even = true
                """), null);
        try (EventLog eventLog = new EventLog(folder.resolve("load.ledger"))) {
            LoadGenerator load = new LoadGenerator(plan, 1, 0,
                    List.of(LoopbackNetwork.address(dispatcher.port())), eventLog);
            load.openIdle(IDLE_TIMEOUT);
            load.start(EventClock.now());
            load.await();
            load.write(folder);
            load.close();
        }
        return new ObjectMapper().readTree(folder.resolve("load-0.json").toFile());
    }

    @AfterEach
    void close() throws IOException {
        dispatcher.close();
    }

    private long eventCount(String word) throws IOException {
        return Files.readString(folder.resolve("load.ledger")).lines()
                .filter(line -> line.split(" ")[1].equals(word)).count();
    }

    private List<String> receivedFields(String name) {
        return dispatcher.received.stream().map(request -> request.field(name)).toList();
    }

    private static void respondOk(TestConnection connection, String result) throws IOException {
        connection.write(
                "HTTP/1.1 200 OK\r\nContent-Length: " + result.length() + "\r\n\r\n" + result);
    }

    private Histogram histogram(String tag) throws IOException {
        try (HistogramLogReader reader = new HistogramLogReader(folder.resolve("load-0.hlog").toFile())) {
            EncodableHistogram next = reader.nextIntervalHistogram();
            while (next != null) {
                if (tag.equals(next.getTag())) {
                    return (Histogram) next;
                }
                next = reader.nextIntervalHistogram();
            }
        }
        throw new AssertionError("no histogram " + tag);
    }

    @Test
    void tasksAreSentOnOneConnectionAndCounted() throws Exception {
        JsonNode statistics = run("fingerprinted", "", (request, connection) -> {
            // The result reports 1 ms at the worker; without the sleep, a response in 0.9 ms would make the
            // added latency negative.
            Thread.sleep(2);
            respondOk(connection, "w/t/1000");
        });
        assertEquals(4, statistics.at("/types/x/finished").asInt());
        assertEquals(12, statistics.at("/types/x/earned").asInt());
        assertEquals(1, statistics.path("opened").asInt());
        var first = dispatcher.received.get(0);
        assertTrue(first.startLine().matches("POST /api/[0-9a-f]+ HTTP/1.1"), first.startLine());
        assertEquals("0.600", first.field("X-Remaining"));
        assertEquals("x", first.field("X-Lane"));
        assertEquals(32, first.field("Idempotency-Key").length());
        assertEquals(4, receivedFields("X-Txn").stream().distinct().count());
        long latency = histogram("latency.x").getMaxValue();
        assertEquals(latency - 1000.0, (double) histogram("added.x").getMaxValue(), 20,
                "added latency excludes the worker's time");
    }

    @Test
    void tasksOfTheWarmUpAreSentButNotCounted() throws Exception {
        JsonNode statistics = run("idempotent", "[clients]\nwarm_up = \"250ms\"\n", FINISH);
        assertEquals(4, dispatcher.received.size());
        assertEquals(2, statistics.at("/types/x/tasks").asInt());
        assertEquals(2, statistics.at("/types/x/finished").asInt());
        assertEquals(6, statistics.at("/types/x/asked").asInt());
        assertEquals(2, histogram("latency.x").getTotalCount());
    }

    /** Guards against a closed loop, which would send one task in this time and measure one slow response. */
    @Test
    void latencyIsMeasuredFromWhenATaskWasDue() throws Exception {
        long end = System.nanoTime() + 700_000_000L;
        JsonNode statistics = run("idempotent", "", (request, connection) -> {
            TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
            respondOk(connection, "w/t/0");
        });
        assertEquals(4, statistics.path("opened").asInt(), "tasks do not wait for the stalled one");
        assertTrue(histogram("latency.x").getValueAtPercentile(50) > 250_000, "the stall adds to latencies");
        assertTrue(statistics.at("/types/x/in_time").asInt() < 4);
    }

    @Test
    void aRejectedTaskIsRetriedAfterRetryAfterWithANewIdAndEarnsOnce() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        List<Long> times = new ArrayList<>();
        JsonNode statistics = run("side-effecting", """
                due = "500ms"
                [clients]
                wait = "10ms"
                [arrivals]
                rate = 3
                even = true
                """, (request, connection) -> {
            times.add(System.nanoTime());
            if (requests.getAndIncrement() == 0) {
                connection.write("HTTP/1.1 503 No\r\nRetry-After: 0.12\r\nContent-Length: 0\r\n\r\n");
            } else {
                respondOk(connection, "w/t/0");
            }
        });
        assertEquals(1, statistics.at("/types/x/tasks").asInt());
        assertEquals(1, statistics.at("/types/x/bounced").asInt());
        assertEquals(1, statistics.at("/types/x/finished").asInt());
        assertEquals(3, statistics.at("/types/x/earned").asInt());
        assertTrue(times.get(1) - times.get(0) >= 115_000_000L, "the retry waits for Retry-After");
        assertEquals("1", dispatcher.received.get(1).field("X-Resent"));
        assertEquals(2, receivedFields("X-Txn").stream().distinct().count());
    }

    @Test
    void onlyARepeatableTaskIsRetriedAfterItMayHaveRun() throws Exception {
        String fewArrivals = "[clients]\nwait = \"10ms\"\n[arrivals]\nrate = 3\neven = true\n";
        ServerScript timesOut = (request, connection) -> connection.respondStatus(504, "");
        assertEquals(1, run("side-effecting", fewArrivals, timesOut).at("/types/x/abandoned").asInt());
        dispatcher.close();
        assertEquals(3, run("idempotent", fewArrivals, timesOut).at("/types/x/abandoned").asInt());
    }

    @Test
    void aTaskOnAStaleConnectionIsSentAgainAsTheSameAttempt() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        JsonNode statistics = run("side-effecting", "", (request, connection) -> {
            if (requests.getAndIncrement() == 1) {
                connection.close();
            } else {
                respondOk(connection, "w/t/0");
            }
        });
        assertEquals(4, statistics.at("/types/x/finished").asInt());
        assertEquals(1, eventCount("crossed"));
        assertEquals(dispatcher.received.get(1).field("X-Txn"), dispatcher.received.get(2).field("X-Txn"));
        assertEquals(0, eventCount("broken"));
    }

    @Test
    void lostConnectionsUnexpectedBytesAndMissingResponsesAreLogged() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        JsonNode statistics = run("side-effecting", "", (request, connection) -> {
            switch (requests.getAndIncrement()) {
                case 0 -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
                case 1 -> respondOk(connection, "w/t/0");
                case 2 -> {
                    respondOk(connection, "w/t/0");
                    Thread.sleep(20);
                    respondOk(connection, "w/t/0");
                }
                default -> respondOk(connection, "w/t/0");
            }
            if (requests.get() == 1) {
                connection.close();
            }
        });
        assertEquals(1, statistics.at("/types/x/broken").asInt());
        assertEquals(1, eventCount("broken"));
        assertEquals(1, eventCount("unasked"), "the second response to one request");
        dispatcher.close();
        statistics = run("side-effecting", "", (request, connection) -> {});
        assertEquals(4, statistics.at("/types/x/no_answer").asInt());
        assertEquals(4, eventCount("none"));
    }

    /** Guards against ignoring bytes that follow a complete response in the same read. */
    @ParameterizedTest
    @ValueSource(strings = {OK + OK, OK + "HTTP/1.1 2", OK + "no response\n\n"})
    void bytesThatFollowAResponseInTheSameReadAreLogged(String bytes) throws Exception {
        JsonNode statistics = run("side-effecting", "", (request, connection) -> connection.write(bytes));
        assertEquals(4, statistics.at("/types/x/finished").asInt());
        assertEquals(4, eventCount("unasked"));
        assertEquals(0, eventCount("none"));
    }

    @Test
    void idleConnectionsSendOneTaskEachAndAreCountedWhenLost() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        JsonNode statistics = run("idempotent", "[clients]\nidle = 20\n", (request, connection) -> {
            respondOk(connection, "w/t/0");
            if (requests.getAndIncrement() == 5) {
                Thread.sleep(100);
                connection.close();
            }
        });
        assertEquals(24, dispatcher.received.size());
        assertEquals(1, statistics.path("idle_lost").asInt());
        assertEquals(4, statistics.path("sent").asInt(), "statistics exclude the tasks of idle connections");
    }

    @Test
    void aClosedLoopSendsTheNextTaskWhenOneHasEnded() throws Exception {
        AtomicInteger inFlight = new AtomicInteger();
        AtomicInteger maxInFlight = new AtomicInteger();
        JsonNode statistics =
                run("idempotent", "[clients]\nin_hand = 2\n", (request, connection) -> {
                    maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
                    Thread.sleep(20);
                    inFlight.decrementAndGet();
                    respondOk(connection, "w/t/0");
                });
        assertEquals(2, maxInFlight.get());
        assertEquals(2, statistics.path("opened").asInt());
        int tasks = statistics.at("/types/x/tasks").asInt();
        assertTrue(tasks > 4 && tasks <= 52, tasks + " tasks of 20 ms in 500 ms, two at a time");
        assertEquals(tasks, statistics.at("/types/x/finished").asInt());
    }

    /** Runs must be repeatable with later versions: the expected values come from earlier versions. */
    @Test
    void aSeedGivesTheSameRequestsAsInEarlierVersions() throws Exception {
        run("fingerprinted", """
                work = "3ms"
                spread = "exponential"
                slots = 0.5
                memory = 2
                body = 60
                [clients]
                idle = 2
                [arrivals]
                rate = 10
                even = true
                objects = 100
                """, FINISH);
        assertEquals(
                Set.of("d0a42b832744990b6bc5", "27f8fa1afd55d70ca21a", "793883e862de0cfdf7f9",
                        "56f67176bd6665c2c451", "5fd851f1415214122450", "b3800389719b627bd19c"),
                Set.copyOf(receivedFields("X-Txn")));
        HttpMessage firstRequest = dispatcher.received.stream()
                .filter(request -> request.field("X-Txn").equals("793883e862de0cfdf7f9")).findFirst()
                .orElseThrow();
        assertEquals(
                List.of("POST /api/48 HTTP/1.1", "Host: fleet", "X-Txn: 793883e862de0cfdf7f9", "X-Lane: x",
                        "X-Remaining: 0.600", "Idempotency-Key: fb74b20f823e9de128708bcc89f219df",
                        "X-Labels: slots=0.5,memory=2.0", "Content-Length: 60"),
                firstRequest.head());
        assertEquals("work=1028,0.5,2.0;" + ".".repeat(42), firstRequest.text());
    }

    @Test
    void lateSendsAreCounted() throws Exception {
        assertEquals(1, run("idempotent", "[clients]\nmost_late = \"1us\"\n", FINISH)
                .path("late_share").asDouble());
        dispatcher.close();
        assertEquals(0, run("idempotent", "[clients]\nmost_late = \"2s\"\n", FINISH)
                .path("late_share").asDouble());
    }
}
