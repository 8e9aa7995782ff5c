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

/** Small runs of real processes, started by the commands that operators use. */
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
    private static final String ARMS = """
            [[arm]]
            name = "one"
            set = { "arrivals.rate" = 60 }
            [[arm]]
            name = "two"
            set = { "arrivals.rate" = 30 }
            """;

    @TempDir
    private Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Commands.run(arguments, new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private int runExperiment(Path planFile) {
        return run("experiment", planFile.toString(), "--folder", resultFolder().toString());
    }

    private Path resultFolder() {
        return folder.resolve("out");
    }

    private JsonNode readResult() throws IOException {
        return new ObjectMapper().readTree(resultFolder().resolve("result.json").toFile());
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private Path writePlan(String text) throws IOException {
        return Files.writeString(folder.resolve("plan.toml"), text);
    }

    private boolean isAnyProcessLeft() {
        return ProcessHandle.allProcesses().anyMatch(
                process -> process.info().commandLine().orElse("").contains(folder.toString()));
    }

    @Test
    void anExperimentRunsItsArmsAndReportsWhileADispatcherIsKilled() throws Exception {
        Path planFile = writePlan(PLAN + """
                [[trouble]]
                what = "dispatcher-killed"
                names = ["d1"]
                at = "500ms"
                length = "100ms"
                """ + ARMS);
        assertEquals(0, runExperiment(planFile), output() + err);
        JsonNode result = readResult();
        JsonNode firstRun = result.at("/runs/one/1");
        assertEquals(120, firstRun.path("sent").asInt(), 45);
        assertTrue(firstRun.at("/types/sale/finished").asInt() > 20, firstRun.toString());
        assertEquals(0, firstRun.at("/rules/0/broken").asInt());
        assertTrue(firstRun.at("/rules/0/at_stake").asInt() > 50);
        assertEquals("too few pairs", result.at("/differences/two/earnings served, %/verdict").asText());
        String report = Files.readString(resultFolder().resolve("report.html"));
        assertEquals(4, report.split("data:image/svg").length - 1, "earnings, latency, and load twice");
        assertFalse(report.contains("http://") || report.contains("src=\"http"), "no external resources");
        assertFalse(isAnyProcessLeft());
    }

    @Test
    void aResumedDispatcherAnswersTasksThatWereSentWhileItWasSuspended() throws Exception {
        Path planFile = writePlan(PLAN.replace("dispatchers = 2", "dispatchers = 1").replace("[clients]",
                "[clients]\nkeep = false\nretries = 0") + """
                        [[trouble]]
                        what = "dispatcher-stopped"
                        names = ["d1"]
                        at = "400ms"
                        length = "2600ms"
                        """);
        runExperiment(planFile);
        JsonNode run = readResult().at("/runs/as it is/1");
        assertEquals("[]", run.at("/rules/0/examples").toString());
        assertTrue(run.at("/rules/0/at_stake").asInt() > 50);
        assertFalse(isAnyProcessLeft());
    }

    @Test
    void aDispatcherThatEndsAtOnceIsReportedWithItsLastLines() throws Exception {
        Path planFile = writePlan(PLAN + "[dispatchers]\nsettings = { TrafficTypes = [] }\n");
        assertEquals(1, runExperiment(planFile));
        assertTrue(errors().contains("d1 ended before it was ready, status 2; its last lines:"), errors());
        assertTrue(errors().contains("the settings lack TrafficTypes"), errors());
        assertFalse(isAnyProcessLeft());
    }

    @Test
    void aPortInUseIsReportedInOneLine() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            int port = taken.getLocalPort();
            Path planFile = writePlan(PLAN + "[dispatchers]\nport = " + port + "\n");
            assertEquals(1, runExperiment(planFile));
            assertTrue(errors().contains("127.0.0.1:" + port + " is taken"), errors());
        }
        assertFalse(isAnyProcessLeft());
    }

    @Test
    void invalidInputEndsWithStatusTwoAndALine() throws Exception {
        assertEquals(2, run("experiment", writePlan(PLAN.replace("rate", "raet")).toString()));
        assertTrue(errors().matches(
                "(?s)rampshift experiment: .*plan.toml:16: arrivals.raet is not known.*"), errors());
        err.reset();
        assertEquals(2, run("experiment", folder.resolve("none.toml").toString()));
        assertEquals(2, run("try", "x"));
        assertEquals(2, run("load", writePlan(PLAN).toString(), "--folder", folder.toString()));
        assertEquals(2, run("load", writePlan(PLAN).toString(), "--to", "localhost:1"));
        assertEquals(2, run("fleet", writePlan(PLAN).toString(), "--seed", "x"));
        assertEquals(5, errors().lines().count(), errors());
    }

    @Test
    void aLoadThatIsTooLateIsReportedAsVoid() throws Exception {
        try (TestServer dispatcher = new TestServer((message, line) -> line.respondStatus(504, ""))) {
            Path planFile = writePlan(PLAN.replace("\"2s\"\n[[machine", "\"300ms\"\n[[machine")
                    .replace("most_late = \"2s\"", "most_late = \"1us\""));
            assertEquals(3, run("load", planFile.toString(), "--folder", folder.toString(), "--to",
                    "127.0.0.1:" + dispatcher.port()));
            assertTrue(output().contains("VOID"), output());
        }
    }

    /**
     * Interrupts a trial in the first second, while dispatchers start, and under load. A build that a script
     * starts in the background ignores SIGINT, and its child processes inherit this: the trial did not end,
     * and the test failed three times of three. So the trial is started with the signal's default action.
     */
    @ParameterizedTest
    @ValueSource(ints = {300, 1200, 5000})
    void anInterruptedTrialLeavesNoProcessBehind(int afterMs) throws Exception {
        Path outputFile = folder.resolve("out.txt");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process trial = new ProcessBuilder("env", "--default-signal=INT", java, "-cp",
                System.getProperty("java.class.path"), "rampshift.Main", "try", "--keep",
                folder.toString()).redirectErrorStream(true)
                .redirectOutput(outputFile.toFile()).start();
        Thread.sleep(afterMs);
        new ProcessBuilder("kill", "-INT", String.valueOf(trial.pid())).start().waitFor();
        assertTrue(trial.waitFor(10, TimeUnit.SECONDS));
        assertFalse(trial.exitValue() == 0);
        TestPeers.until("all processes have ended", () -> !isAnyProcessLeft());
        assertEquals(List.of(), Files.readAllLines(outputFile, StandardCharsets.UTF_8).stream()
                .filter(line -> line.contains("Exception") || line.startsWith("\tat ")).toList(),
                "no stack trace is printed");
    }
}
