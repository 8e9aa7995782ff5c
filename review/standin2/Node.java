import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One dispatcher: its files, and its process as the deploy file starts it. */
final class Node {
    final String name;
    final int clientPort;
    final int memberPort;
    final Path operatorFile;
    final Path log;
    private final Stage stage;
    private final Path config;
    Process process;
    private int starts;

    Node(Stage stage, String name) throws IOException {
        this.stage = stage;
        this.name = name;
        clientPort = Stage.freePort();
        memberPort = Stage.freePort();
        config = stage.folder.resolve(name + ".json");
        operatorFile = stage.folder.resolve(name + ".toml");
        log = stage.folder.resolve(name + ".log");
    }

    Path directory() {
        return stage.folder.resolve("keeper-" + name);
    }

    void start() throws IOException {
        Files.writeString(config, stage.configuration(this, ++starts));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
        builder.directory(stage.root.toFile());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("RAMPSHIFT_OPERATOR", operatorFile.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        stage.processes.add(process);
        stage.journal.add(name, "start", "pid " + process.pid());
    }

    void signal(String signal) throws Exception {
        stage.journal.add(name, "signal", signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Ends the process by SIGTERM; by SIGKILL if it is still there after the time that the platform grants. */
    void stop(long killAfterMillis) throws Exception {
        signal("TERM");
        if (!process.waitFor(killAfterMillis, TimeUnit.MILLISECONDS)) {
            signal("KILL");
            process.waitFor();
        }
        stage.journal.add(name, "ended", "status " + process.exitValue());
    }

    void kill() throws Exception {
        signal("KILL");
        process.waitFor();
        stage.journal.add(name, "ended", "killed");
    }

    /** Waits until the dispatcher is ready; throws if it isn't after 30 s. */
    void awaitReady() throws Exception {
        Stage.await(30, name + " ready", () -> {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " ended: " + Files.readString(log));
            }
            try {
                HttpURLConnection c = (HttpURLConnection) new URL("http://127.0.0.1:" + clientPort + "/ready")
                        .openConnection();
                c.setConnectTimeout(500);
                c.setReadTimeout(500);
                return c.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        });
        stage.journal.add(name, "ready", "");
    }
}
