package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** Guards against a SIGHUP that ends the JVM, which is its default, also during the start. */
    @Test
    void sighupReloadsTheConfigurationAndTheDispatcherKeepsRunning(@TempDir Path folder) throws Exception {
        try (TestServer one = TestDiscovery.start(List.of());
                TestServer other = TestDiscovery.start(List.of())) {
            Path file = folder.resolve("config.json");
            String limits = "{\"memory_mb\":192,\"sockets\":256}";
            Files.writeString(file, TestPeers.configuration(one, TestPeers.list(true), limits));
            Path log = folder.resolve("log");
            ProcessBuilder builder =
                    new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-cp", System.getProperty("java.class.path"), "rampshift.Main", "serve")
                            .redirectError(log.toFile());
            builder.environment().put("NODE_CONFIG", file.toString());
            Process process = builder.start();
            try {
                TestPeers.until("the agent is polled", () -> one.received.size() > 0);
                TestPeers.until("warmed up", () -> Files.readString(log).contains(" INFO warmed-up "));
                assertTrue(Files.readString(log).indexOf(" INFO ready ") < Files.readString(log)
                        .indexOf(" INFO warmed-up "), "ready before the warm-up has ended");
                assertTrue(Files.readString(log).contains(" INFO ready "));
                Files.writeString(file, "{half");
                signal("HUP", process);
                TestPeers.until("the fault is logged",
                        () -> Files.readString(log).contains(" WARN reload kept="));
                Files.writeString(file, TestPeers.configuration(other, TestPeers.list(true), limits));
                signal("HUP", process);
                signal("HUP", process);
                TestPeers.until("the other agent is polled", () -> other.received.size() > 0);
                signal("TERM", process);
                signal("HUP", process);
                assertEquals(143, process.waitFor(), "the exit status is that of SIGTERM");
                assertTrue(Files.readString(log).contains(" INFO stopped "), "the shutdown was graceful");
                assertFalse(Files.readString(log).contains("Exception"));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against a start script that silently uses the heap size for 192 MB with a limit of 160 MB, if no
     * other program can be started (93 of 93 dispatchers).
     */
    @ParameterizedTest
    @CsvSource({
            "'{\"limits\":{\"cores\":1.0,\"memory_mb\":160,\"sockets\":256},\"settings\":{}}',-Xmx72m,false",
            "'{~ \"limits\" :~ {~  \"memory_mb\"~ :~ 64~ }~}',-Xmx28m,false",
            "'{\"limits\":{\"memory_mb\":64.0}}',-Xmx28m,false",
            "'{\"old_memory_mb\":8,\"limits\":{\"x_memory_mb\":8,~\"memory_mb\":160}}',-Xmx72m,false",
            "'{\"limits\":{\"memory_mb\":1.6e2}}',-Xmx86m,true", "'{\"memory_mb\":160}',-Xmx86m,true",
            "'',-Xmx86m,true"})
    void heapSizeFollowsTheConfiguredMemory(String config, String heap, boolean expectsWarning,
            @TempDir Path folder) throws Exception {
        Path path = Files.createDirectory(folder.resolve("path"));
        Path java = path.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Files.createSymbolicLink(path.resolve("sh"), Path.of("/bin/sh"));
        for (String lineEnd : List.of("\n", "\r\n")) {
            Files.writeString(folder.resolve("config.json"), config.replace("~", lineEnd));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
            builder.environment().clear();
            builder.environment().put("PATH", path.toString());
            builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
            Process process = builder.start();
            String commandLine = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(commandLine.contains(" " + heap + " ") && commandLine.trim().endsWith(" serve"),
                    commandLine);
            String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(expectsWarning, errorOutput.contains("WARN memory: limits.memory_mb"), errorOutput);
        }
    }

    @Test
    void checkNamesAnInvalidSettingWithItsFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        String good = TestPeers.configuration(null, TestPeers.list(true), "{}");
        Files.writeString(file, good);
        Map<String, String> environment = Map.of("NODE_CONFIG", file.toString());
        assertEquals(0,
                Main.run(new String[]{"check"}, environment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
        Files.writeString(file, good.replace("\"Zones\"", "\"LoadInfo\":{\"How\":\"never\"},\"Zones\""));
        assertEquals(2,
                Main.run(new String[]{"check"}, environment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
        assertEquals(
                "rampshift check: " + file + ": setting LoadInfo.How is never, not inline, on_probe or off",
                err.toString(StandardCharsets.UTF_8).strip());
    }

    @Test
    void membersReportsEachFaultOfAnOperatorFileWithItsLine(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("operator.toml");
        Files.writeString(file,
                "[members]\nfleet = \"two words\"\nlisten = \"127.0.0.1:7946\"\nforgett = 1\n");
        int status = Main.run(new String[]{"members", "--operator", file.toString()}, Map.of(),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        assertEquals(2, status);
        assertEquals("""
                rampshift members: FILE:2: members.fleet is "two words", \
                expected a name of letters, digits, '-', '_' and '.'
                rampshift members: FILE:4: members.forgett is not known; the nearest key here is forget
                """.replace("FILE", file.toString()), err.toString(StandardCharsets.UTF_8));
    }

    private static void signal(String name, Process process) throws Exception {
        assertEquals(0,
                new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor());
    }

    @ParameterizedTest
    @CsvSource({"--help,0", "help,0", "--version,0", "version,0", "'',2", "nonsense,2", "--nonsense,2",
            "serve drill,2", "serve,2", "check,2"})
    void commandLinesExitWithTheDocumentedStatus(String line, int status) throws Exception {
        String[] args = line.isEmpty() ? new String[0] : line.split(" ");
        assertEquals(status, Main.run(args, Map.of(), new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8)));
        assertTrue(
                status == 0 ? out.size() > 0 && err.size() == 0
                        : err.toString(StandardCharsets.UTF_8).lines().count() == 1,
                err.toString(StandardCharsets.UTF_8));
    }
}
