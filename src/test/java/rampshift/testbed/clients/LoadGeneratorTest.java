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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestServer;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.wire.LoopbackNetwork;

/** Clients before a dispatcher that does what the story says. */
class LoadGeneratorTest {
    @TempDir
    Path folder;
    private TestServer dispatcher;

    /** Plays a plan with ten tasks a second, evenly, for half a second. */
    private JsonNode play(String effect, String more, ServerScript script) throws Exception {
        dispatcher = new TestServer((message, line) -> {
            if (message.startLine().startsWith("GET")) {
                ok(line, "ready");      // the front asks whoever has failed
            } else {
                script.handle(message, line);
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
        try (EventLog ledger = new EventLog(folder.resolve("load.ledger"))) {
            LoadGenerator load =
                    new LoadGenerator(plan, 1, 0, List.of(LoopbackNetwork.address(dispatcher.port())),
                            ledger);
            load.openIdle(rampshift.time.Span.ofMillis(5000));
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

    private String ledger() throws IOException {
        return Files.readString(folder.resolve("load.ledger"));
    }

    private long lines(String word) throws IOException {
        return ledger().lines().filter(l -> l.split(" ")[1].equals(word)).count();
    }

    private static void ok(TestConnection line, String result) throws IOException {
        line.write("HTTP/1.1 200 OK\r\nContent-Length: " + result.length() + "\r\n\r\n" + result);
    }

    private Histogram histogram(String tag) throws IOException {
        try (HistogramLogReader in = new HistogramLogReader(folder.resolve("load-0.hlog").toFile())) {
            for (var h = in.nextIntervalHistogram(); h != null; h = in.nextIntervalHistogram()) {
                if (tag.equals(h.getTag())) {
                    return (Histogram) h;
                }
            }
        }
        throw new AssertionError("no histogram " + tag);
    }

    @Test
    void tasksGoOutByTheProtocolOnOneConnectionAndAreCounted() throws Exception {
        JsonNode sum = play("fingerprinted", "", (m, line) -> {
            // it says that it took 1 ms; without this an answer in 0.9 ms left less than nothing
            Thread.sleep(2);
            ok(line, "w/t/1000");
        });
        assertEquals(4, sum.at("/types/x/finished").asInt());
        assertEquals(12, sum.at("/types/x/earned").asInt());
        assertEquals(1, sum.path("opened").asInt());
        var first = dispatcher.received.get(0);
        assertTrue(first.startLine().matches("POST /api/[0-9a-f]+ HTTP/1.1"), first.startLine());
        assertEquals("0.600", first.field("X-Remaining"));
        assertEquals("x", first.field("X-Lane"));
        assertEquals(32, first.field("Idempotency-Key").length());
        assertEquals(4, dispatcher.received.stream().map(m -> m.field("X-Txn")).distinct().count());
        long latency = histogram("latency.x").getMaxValue();
        assertEquals(latency - 1000.0, (double) histogram("added.x").getMaxValue(), 20,
                "less what it took at the worker");
    }

    @Test
    void whatComesWhileThingsWarmUpIsSentAndCountsInNoFigure() throws Exception {
        JsonNode sum = play("idempotent", "[clients]\nwarm_up = \"250ms\"\n", (m, line) -> ok(line, "w/t/0"));
        assertEquals(4, dispatcher.received.size());
        assertEquals(2, sum.at("/types/x/tasks").asInt());
        assertEquals(2, sum.at("/types/x/finished").asInt());
        assertEquals(6, sum.at("/types/x/asked").asInt());
        assertEquals(2, histogram("latency.x").getTotalCount());
    }

    /** A closed loop would have sent one task in this time, and shown one slow answer. */
    @Test
    void aStallCountsFromWhenEachTaskWasDueToBeSent() throws Exception {
        long end = System.nanoTime() + 700_000_000L;
        JsonNode sum = play("idempotent", "", (m, line) -> {
            TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
            ok(line, "w/t/0");
        });
        assertEquals(4, sum.path("opened").asInt(), "others don't wait for the stalled one");
        assertTrue(histogram("latency.x").getValueAtPercentile(50) > 250_000, "they all show it");
        assertTrue(sum.at("/types/x/in_time").asInt() < 4);
    }

    @Test
    void aBouncedTaskComesBackWhenItIsToldToUnderANewIdAndEarnsOnce() throws Exception {
        AtomicInteger number = new AtomicInteger();
        List<Long> times = new ArrayList<>();
        JsonNode sum = play("side-effecting", """
                due = "500ms"
                [clients]
                wait = "10ms"
                [arrivals]
                rate = 3
                even = true
                """, (m, line) -> {
            times.add(System.nanoTime());
            if (number.getAndIncrement() == 0) {
                line.write("HTTP/1.1 503 No\r\nRetry-After: 0.12\r\nContent-Length: 0\r\n\r\n");
            } else {
                ok(line, "w/t/0");
            }
        });
        assertEquals(1, sum.at("/types/x/tasks").asInt());
        assertEquals(1, sum.at("/types/x/bounced").asInt());
        assertEquals(1, sum.at("/types/x/finished").asInt());
        assertEquals(3, sum.at("/types/x/earned").asInt());
        assertTrue(times.get(1) - times.get(0) >= 115_000_000L, "not sooner");
        assertEquals("1", dispatcher.received.get(1).field("X-Resent"));
        assertEquals(2, dispatcher.received.stream().map(m -> m.field("X-Txn")).distinct().count());
    }

    @Test
    void aSaleThatMayHaveRunIsNotTriedAgainOthersAre() throws Exception {
        String few = "[clients]\nwait = \"10ms\"\n[arrivals]\nrate = 3\neven = true\n";
        ServerScript abandons = (m, line) -> line.write("HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n");
        assertEquals(1, play("side-effecting", few, abandons).at("/types/x/abandoned").asInt());
        dispatcher.close();
        assertEquals(3, play("idempotent", few, abandons).at("/types/x/abandoned").asInt());
    }

    @Test
    void aConnectionEndedBetweenTasksIsNoLossTheTaskGoesOnceMore() throws Exception {
        AtomicInteger number = new AtomicInteger();
        JsonNode sum = play("side-effecting", "", (m, line) -> {
            if (number.getAndIncrement() == 1) {
                line.close();
            } else {
                ok(line, "w/t/0");
            }
        });
        assertEquals(4, sum.at("/types/x/finished").asInt());
        assertEquals(1, lines("crossed"));
        assertEquals(dispatcher.received.get(1).field("X-Txn"), dispatcher.received.get(2).field("X-Txn"));
        assertEquals(0, lines("broken"));
    }

    @Test
    void whatBreaksOrNeverComesIsWrittenDown() throws Exception {
        AtomicInteger number = new AtomicInteger();
        JsonNode sum = play("side-effecting", "", (m, line) -> {
            switch (number.getAndIncrement()) {
                case 0 -> line.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
                case 1 -> ok(line, "w/t/0");
                case 2 -> {
                    ok(line, "w/t/0");
                    Thread.sleep(20);
                    ok(line, "w/t/0");
                }
                default -> ok(line, "w/t/0");
            }
            if (number.get() == 1) {
                line.close();
            }
        });
        assertEquals(1, sum.at("/types/x/broken").asInt());
        assertEquals(1, lines("broken"));
        assertEquals(1, lines("unasked"), "the second answer of a connection");
        dispatcher.close();
        sum = play("side-effecting", "", (m, line) -> {});
        assertEquals(4, sum.at("/types/x/no_answer").asInt());
        assertEquals(4, lines("none"));
    }

    @Test
    void idleConnectionsSendOneTaskEachAndAreCountedWhenTheyAreLost() throws Exception {
        AtomicInteger number = new AtomicInteger();
        JsonNode sum = play("idempotent", "[clients]\nidle = 20\n", (m, line) -> {
            ok(line, "w/t/0");
            if (number.getAndIncrement() == 5) {
                Thread.sleep(100);
                line.close();
            }
        });
        assertEquals(24, dispatcher.received.size());
        assertEquals(1, sum.path("idle_lost").asInt());
        assertEquals(4, sum.path("sent").asInt(), "they are no part of the run");
    }

    @Test
    void aToolThatFallsBehindItsOwnPlanKnowsIt() throws Exception {
        assertEquals(1, play("idempotent", "[clients]\nmost_late = \"1us\"\n", (m, line) -> ok(line, "w/t/0"))
                .path("late_share").asDouble());
        dispatcher.close();
        assertEquals(0, play("idempotent", "[clients]\nmost_late = \"2s\"\n", (m, line) -> ok(line, "w/t/0"))
                .path("late_share").asDouble());
    }
}
