package rampshift.migrate;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.serve.DispatcherServer;
import rampshift.settings.Configuration;

class MigrateCommandTest {
    private static final String LIMITS = "{\"memory_mb\":100,\"sockets\":200}";
    private static final String TARGET =
            "{\"zones\":[\"a\",\"b\",\"c\",\"d\"],\"zone\":\"c\",\"ask_within_ms\":4000}";
    @TempDir
    private Path folder;
    private Path oldFile;
    private Path newFile;
    private Path shapeFile;
    private String output;
    private String errors;

    @BeforeEach
    void writeInputFiles() throws IOException {
        oldFile = folder.resolve("old.json");
        newFile = folder.resolve("new.json");
        shapeFile = folder.resolve("shape.json");
        Files.writeString(shapeFile, TARGET);
        Files.writeString(oldFile, TestPeers
                .configuration(null, TestPeers.list(true, "{\"uid\":\"s-1\"}"), LIMITS)
                .replace("\"settings\"", "\"more\":{},\"settings\"")
                .replace("\"Zones\"",
                        "\"Me\":3,\"Own\":1.250,\"LoadInfo\":{\"How\":\"inline\",\"Names\":[\"x0\"]},"
                                + "\"Zones\""));
    }

    private int migrate(String... more) {
        List<String> args = new ArrayList<>(List.of(oldFile.toString()));
        args.addAll(List.of(more));
        return run(args);
    }

    private int run(List<String> args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = MigrateCommand.run(args, new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        output = out.toString(StandardCharsets.UTF_8);
        errors = err.toString(StandardCharsets.UTF_8);
        return status;
    }

    private int migrateTo(Path to) {
        return migrate("--shape", shapeFile.toString(), "--out", to.toString());
    }

    private Configuration read(Path file) {
        return Configuration.read(Map.of("NODE_CONFIG", file.toString()));
    }

    @Test
    void writesAConfigurationWithoutLoadReports() throws IOException {
        byte[] before = Files.readAllBytes(oldFile);
        Files.setPosixFilePermissions(oldFile, PosixFilePermissions.fromString("rw-r-----"));
        assertEquals(0, migrateTo(newFile), errors);
        var settings = read(newFile).settings().read(1);
        assertFalse(settings.reportsLoad);
        assertFalse(settings.liveWeights);
        assertTrue(settings.endpointListOnRequest);
        assertEquals(2, settings.zone);
        assertEquals(4000, settings.maxSubscribeDelay.millis());
        assertNull(read(newFile).knownEndpoints(), "the known workers belong to the old deployment");
        assertArrayEquals(before, Files.readAllBytes(oldFile), "the old configuration stays unchanged");
        assertEquals("rw-r-----", PosixFilePermissions.toString(Files.getPosixFilePermissions(newFile)));
        assertTrue(Files.readString(newFile).contains("1.250"),
                "an unknown setting is kept as written");
        try (var files = Files.list(folder)) {
            assertEquals(3, files.count(), "no temporary file is left");
        }
    }

    @Test
    void listsChangesAndWhatIsNotCarriedOver() {
        assertEquals(0, migrateTo(newFile), errors);
        for (String line : List.of("changed: settings.LoadInfo.How: inline -> off",
                "changed: settings.Zones: [a] -> [a, b, c, d]", "changed: settings.Zone: 0 -> 2",
                "not carried over: settings.WeightSource live",
                "not carried over: settings.LoadInfo.Names [x0]",
                "not carried over: settings.Me 3", "not carried over: more: not known",
                "not carried over: known, 1 workers",
                "look at: settings.TrafficTypes mark: its repeats are dropped within one cell")) {
            assertTrue(output.contains(line), line + "\n" + output);
        }
    }

    @Test
    void dryRunPrintsTheSameAndWritesNothing() throws IOException {
        migrateTo(newFile);
        String written = output;
        Files.delete(newFile);
        assertEquals(0, migrate("--shape", shapeFile.toString(), "--dry-run"));
        assertEquals(written.replace("written: " + newFile, "nothing was written"), output);
        try (var files = Files.list(folder)) {
            assertEquals(2, files.count(), "the old configuration and the shape file only");
        }
    }

    @Test
    void writesNothingForAFileOfTheTargetDeployment() {
        migrateTo(newFile);
        oldFile = newFile;
        Path again = folder.resolve("again.json");
        assertEquals(0, migrateTo(again), errors);
        assertTrue(output.contains("is of that shape already"), output);
        assertFalse(Files.exists(again));
    }

    @Test
    void doesNotOverwriteAnExistingFile() throws IOException {
        Files.writeString(newFile, "other content");
        assertEquals(2, migrateTo(newFile));
        assertEquals("other content", Files.readString(newFile));
        assertTrue(errors.contains("exists"), errors);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "\"Me\":3            | \"Me\":                | line 1, column",
            "\"settings\":{      | \"unset\":{            | settings is missing",
            "\"TrafficTypes\":[  | \"Others\":[           | TrafficTypes",
            "\"How\":\"inline\"  | \"How\":\"sometimes\"  | LoadInfo.How is sometimes",
            "\"Limits\":{        | \"Limits\":7,\"L\":{   | Limits",
            "127.0.0.1:0         | localhost:0            | listen is not an address",
            "\"Me\":3            | \"Me\":3,\"Me\":4      | Duplicate field 'Me'",
    })
    void reportsAnInvalidConfigurationInOneLineAndWritesNothing(String part, String replacement,
            String expectedError)
            throws IOException {
        Files.writeString(oldFile, Files.readString(oldFile).replace(part, replacement));
        assertEquals(2, migrateTo(newFile));
        assertEquals(1, errors.lines().count(), errors);
        assertTrue(errors.startsWith("rampshift migrate: " + oldFile) && errors.contains(expectedError),
                errors);
        assertFalse(Files.exists(newFile));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
            "\"zone\":\"c\"           | \"zone\":\"z\"           | zone is z, expected one of zones",
            "\"b\",                     | \"b\",\"b\",            | zones is not a list of distinct names",
            "[\"a\",\"b\",\"c\",\"d\"] | []                     | zones is not a list of distinct names",
            "4000                        | 0                       | ask_within_ms is not a number from 1",
            "4000                        | \"soon\"                | ask_within_ms is not a number from 1",
            "4000                        | 4000,\"probes\":1       | probes is not true or false",
            "4000                        | 4000,\"reports\":\"no\"  | reports is no, expected one of off",
            "4000                    | 4000,\"list\":\"asked\"  | list is asked, expected one of on_request",
            "4000                        | 4000,\"listen\":\"here\" | listen is not an address",
            "4000                        | 4000,\"zoens\":[]       | unknown key zoens",
            "4000                        | NaN                     | line 1, column",
    })
    void reportsAnInvalidTargetInOneLineAndWritesNothing(String part, String replacement,
            String expectedError)
            throws IOException {
        Files.writeString(shapeFile, TARGET.replace(part, replacement));
        assertEquals(2, migrateTo(newFile));
        assertEquals(1, errors.lines().count(), errors);
        assertTrue(errors.startsWith("rampshift migrate: " + shapeFile) && errors.contains(expectedError),
                errors);
        assertFalse(Files.exists(newFile));
    }

    @ParameterizedTest
    @ValueSource(strings = {"folder", "empty", "missing", "huge"})
    void namesAnUnreadableFile(String kind) throws IOException {
        Path file = folder.resolve(kind);
        switch (kind) {
            case "folder" -> Files.createDirectory(file);
            case "empty" -> Files.createFile(file);
            case "huge" -> Files.write(file, new byte[(1 << 22) + 1]);
            default -> {
            }
        }
        oldFile = file;
        assertEquals(2, migrateTo(newFile));
        assertEquals(1, errors.lines().count(), errors);
        assertTrue(errors.startsWith("rampshift migrate: " + file), errors);
        assertFalse(Files.exists(newFile));
    }

    /** Guards against printing such a number without an exponent, which exhausted the memory. */
    @Test
    void printsNumbersOfAnySizeAsWritten() throws IOException {
        Files.writeString(oldFile, Files.readString(oldFile).replace("\"Me\":3", "\"Me\":3e99999999"));
        assertEquals(0, migrateTo(newFile), errors);
        assertTrue(output.contains("settings.Me 3E+99999999"), output);
    }

    @Test
    void rejectsAnInvalidCommandLineInOneLine() {
        String shapePath = shapeFile.toString();
        String[][] lines = {{"--dry-run"}, {"--shape", shapePath},
                {"--shape", shapePath, "--dry-run", "--out", "x"},
                {"--shape", shapePath, "--dry-run", "--odd"}, {"--shape", "/no/such", "--dry-run"},
                {"--shape", shapePath, "--out", "/no/such/x"}, {"--shape"}};
        for (String[] line : lines) {
            assertEquals(2, migrate(line), String.join(" ", line));
            assertEquals(1, errors.lines().count(), errors);
        }
    }

    /**
     * Serves tasks with a migrated configuration: four zones, an endpoint list that is polled and fails at
     * first, and workers that report no load.
     */
    @Test
    void dispatcherServesWithTheMigratedConfiguration() throws Exception {
        TestServer unresponsive = new TestServer((task, line) -> {});
        TestServer good = new TestServer((task, line) -> {
            String id = task.field("X-Txn");
            line.respondWithProgress("{\"id\":\"" + id + "\",\"state\":\"started\"}",
                    "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"ok\"}");
        });
        String list = TestPeers.list(true, unresponsive.entry("s-1", "in_service"),
                good.entry("s-2", "in_service").replace("\"az\":\"a\"", "\"az\":\"d\"")).replace("REV", "1");
        AtomicInteger polls = new AtomicInteger();
        TestServer discovery = new TestServer((message, line) -> {
            if (polls.incrementAndGet() % 2 == 1) {
                line.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            } else {
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                Thread.sleep(50);
            }
        });
        Files.writeString(oldFile,
                Files.readString(oldFile).replace("\"SecondCopies\":false", "\"SecondCopies\":true"));
        Files.writeString(shapeFile,
                TARGET.replace("4000", "4000,\"discovery\":\"127.0.0.1:" + discovery.port() + "\""));
        assertEquals(0, migrateTo(newFile), errors);
        DispatcherServer node = new DispatcherServer(read(newFile));
        try (unresponsive; good; discovery; TestConnection client = new TestConnection(node)) {
            node.awaitReady();
            TestPeers.until("the endpoint list has arrived",
                    () -> client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read()
                            .status() == 200);
            for (int i = 0; i < 6; i++) {
                assertEquals(200, client.sendTask("t" + i, "look", "x").read().status());
            }
            assertEquals(6, good.received.size(), "unstarted tasks are retried on the other worker");
            assertTrue(polls.get() >= 2, "the first poll fails");
        } finally {
            node.stop();    // waits for the I/O thread, which would otherwise run on during other tests
        }
    }
}
