package rampshift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A dispatcher in a process of its own, started by {@code deploy/serve.sh} with the classes under test. */
public final class ServeProcess implements Closeable {
    /** A stand-in for the command java, which runs the classes under test in place of the jar. */
    private static final String JAVA = """
            #!/bin/sh
            for argument do
                shift
                case "$argument" in
                    -jar) set -- "$@" -cp ;;
                    target/rampshift.jar) set -- "$@" "$TEST_CLASS_PATH" "$TEST_MAIN_CLASS" ;;
                    -XX:SharedArchiveFile=*) ;;
                    *) set -- "$@" "$argument" ;;
                esac
            done
            exec "$TEST_JAVA" "$@"
            """;

    private static final Pattern LISTENING = Pattern.compile(" INFO started .*listen=\\S*:(\\d+)");

    private final int port;
    private final Path log;
    private final Process process;

    /** Starts a dispatcher without a discovery agent in an empty folder, and waits until it is ready. */
    public ServeProcess(Path folder, String limits, String... entries) throws Exception {
        this(Main.class, folder, limits, entries);
    }

    /** Starts a dispatcher without a discovery agent by another main class. */
    ServeProcess(Class<?> mainClass, Path folder, String limits, String... entries) throws Exception {
        this(TestPeers.configuration(null, TestPeers.list(true, entries), limits), mainClass, folder);
    }

    private ServeProcess(String configuration, Class<?> mainClass, Path folder) throws Exception {
        log = folder.resolve("log");
        Path config = folder.resolve("config.json");
        Files.writeString(config, configuration);
        Path java = folder.resolve("java");
        Files.writeString(java, JAVA);
        java.toFile().setExecutable(true);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh")
                .redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("PATH", folder + ":" + System.getenv("PATH"));
        builder.environment().put("TEST_CLASS_PATH", System.getProperty("java.class.path"));
        builder.environment().put("TEST_MAIN_CLASS", mainClass.getName());
        builder.environment().put("TEST_JAVA",
                Path.of(System.getProperty("java.home"), "bin", "java").toString());
        process = builder.start();
        try {
            TestPeers.until("the dispatcher is ready", () -> log().contains(" INFO ready "));
        } catch (AssertionError e) {
            close();
            throw new AssertionError(log(), e);
        }
        Matcher listening = LISTENING.matcher(log());
        assertTrue(listening.find(), log());
        port = Integer.parseInt(listening.group(1));
    }

    /** Starts a dispatcher that watches a discovery agent. */
    static ServeProcess watching(TestServer discovery, Path folder, String limits) throws Exception {
        return new ServeProcess(TestPeers.configuration(discovery, TestPeers.list(true), limits), Main.class,
                folder);
    }

    /** Connects as a client. */
    public TestConnection connect() throws IOException {
        return new TestConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Returns what the process has written to standard output and standard error. */
    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns the process. */
    public Process process() {
        return process;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
