package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.testbed.Commands;

/** Whole runs with real processes, small ones. */
class FleetRunTest {
    private static final String PLAN = """
            length = "2s"
            [[machine]]
            name = "m"
            [[site]]
            name = "a"
            dispatchers = 2
            workers = [{ machine = "m", count = 4 }]
            [[type]]
            name = "look"
            work = "20ms"
            [[type]]
            name = "sale"
            effect = "side-effecting"
            work = "20ms"
            [arrivals]
            rate = 60
            [experiment]
            pairs = 1
            settle = "0ms"
            [clients]
            most_late = "2s"
            """;
    @TempDir
    Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Commands.run(arguments, new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("plan.toml"), text);
    }

    private boolean anyoneLeft() {
        return ProcessHandle.allProcesses()
                .anyMatch(p -> p.info().commandLine().orElse("").contains(folder.toString()));
    }

    @Test
    void anExperimentPlaysItsArmsAndReportsWithADispatcherKilledUnderWay() throws Exception {
        Path file = file(PLAN + """
                [[trouble]]
                what = "dispatcher-killed"
                names = ["d1"]
                at = "500ms"
                length = "100ms"
                [[arm]]
                name = "one"
                set = { "arrivals.rate" = 60 }
                [[arm]]
                name = "two"
                set = { "arrivals.rate" = 30 }
                """);
        assertEquals(0, run("experiment", file.toString(), "--folder", folder.resolve("out").toString()),
                out.toString(StandardCharsets.UTF_8) + err);
        JsonNode result = new ObjectMapper().readTree(folder.resolve("out/result.json").toFile());
        JsonNode one = result.at("/runs/one/1");
        assertEquals(120, one.path("sent").asInt(), 45);
        assertTrue(one.at("/types/sale/finished").asInt() > 20, one.toString());
        assertEquals(0, one.at("/rules/0/broken").asInt());
        assertTrue(one.at("/rules/0/at_stake").asInt() > 50);
        assertEquals("too few pairs", result.at("/differences/two/earnings served, %/verdict").asText());
        String report = Files.readString(folder.resolve("out/report.html"));
        assertEquals(4, report.split("data:image/svg").length - 1, "earnings, latency, and load twice");
        assertFalse(report.contains("http://") || report.contains("src=\"http"), "nothing from elsewhere");
        assertFalse(anyoneLeft());
    }

    @Test
    void aDispatcherThatStoodStillAnswersWhoeverHasSentItsTaskMeanwhile() throws Exception {
        Path file = file(PLAN.replace("dispatchers = 2", "dispatchers = 1").replace("[clients]",
                "[clients]\nkeep = false\nretries = 0") + """
                        [[trouble]]
                        what = "dispatcher-stopped"
                        names = ["d1"]
                        at = "400ms"
                        length = "2600ms"
                        """);
        run("experiment", file.toString(), "--folder", folder.resolve("out").toString());
        JsonNode one = new ObjectMapper().readTree(folder.resolve("out/result.json").toFile())
                .at("/runs/as it is/1");
        assertEquals("[]", one.at("/rules/0/examples").toString());
        assertTrue(one.at("/rules/0/at_stake").asInt() > 50);
        assertFalse(anyoneLeft());
    }

    @Test
    void aDispatcherThatDiesAtOnceIsShownWithItsLastLines() throws Exception {
        Path file = file(PLAN + "[dispatchers]\nsettings = { TrafficTypes = [] }\n");
        assertEquals(1, run("experiment", file.toString(), "--folder", folder.resolve("out").toString()));
        assertTrue(
                err.toString(StandardCharsets.UTF_8)
                        .contains("d1 ended before it was ready, status 2; its last lines:"),
                err.toString(StandardCharsets.UTF_8));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("the settings lack TrafficTypes"),
                err.toString(StandardCharsets.UTF_8));
        assertFalse(anyoneLeft());
    }

    @Test
    void aPortAlreadyTakenIsSaidInOneLine() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Path file = file(PLAN + "[dispatchers]\nport = " + taken.getLocalPort() + "\n");
            assertEquals(1, run("experiment", file.toString(), "--folder", folder.resolve("out").toString()));
            assertTrue(
                    err.toString(StandardCharsets.UTF_8)
                            .contains("127.0.0.1:" + taken.getLocalPort() + " is taken"),
                    err.toString(StandardCharsets.UTF_8));
        }
        assertFalse(anyoneLeft());
    }

    @Test
    void wrongInputEndsWithStatusTwoAndALine() throws Exception {
        assertEquals(2, run("experiment", file(PLAN.replace("rate", "raet")).toString()));
        assertTrue(
                err.toString(StandardCharsets.UTF_8)
                        .matches("(?s)rampshift experiment: .*plan.toml:16: arrivals.raet is not known.*"),
                err.toString(StandardCharsets.UTF_8));
        err.reset();
        assertEquals(2, run("experiment", folder.resolve("none.toml").toString()));
        assertEquals(2, run("try", "x"));
        assertEquals(2, run("load", file(PLAN).toString(), "--folder", folder.toString()));
        assertEquals(2, run("load", file(PLAN).toString(), "--to", "localhost:1"));
        assertEquals(2, run("fleet", file(PLAN).toString(), "--seed", "x"));
        assertEquals(5, err.toString(StandardCharsets.UTF_8).lines().count(),
                err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aLoadThatFellBehindItsPlanReportsNoFiguresAsGood() throws Exception {
        try (TestServer dispatcher = new TestServer((m, line) -> line.respondStatus(504, ""))) {
            Path file = file(
                    PLAN.replace("\"2s\"\n[[machine", "\"300ms\"\n[[machine").replace("most_late = \"2s\"",
                            "most_late = \"1us\""));
            assertEquals(3, run("load", file.toString(), "--folder", folder.toString(), "--to",
                    "127.0.0.1:" + dispatcher.port()));
            assertTrue(out.toString(StandardCharsets.UTF_8).contains("VOID"),
                    out.toString(StandardCharsets.UTF_8));
        }
    }

    /** In the first second, while dispatchers start, and under load. */
    @ParameterizedTest
    @ValueSource(ints = {300, 1200, 5000})
    void aKeyPressThatEndsItLeavesNoProcessBehind(int afterMs) throws Exception {
        Process tried = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"), "rampshift.Main", "try", "--keep", folder.toString())
                .redirectErrorStream(true).redirectOutput(folder.resolve("out.txt").toFile()).start();
        Thread.sleep(afterMs);
        new ProcessBuilder("kill", "-INT", String.valueOf(tried.pid())).start().waitFor();
        assertTrue(tried.waitFor(10, TimeUnit.SECONDS));
        assertFalse(tried.exitValue() == 0);
        TestPeers.until("all are gone", () -> !anyoneLeft());
        assertEquals(List.of(), Files.readAllLines(folder.resolve("out.txt"), StandardCharsets.UTF_8).stream()
                .filter(l -> l.contains("Exception") || l.startsWith("\tat ")).toList(), "nor a stack trace");
    }
}
