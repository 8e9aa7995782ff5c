import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One run of a case: its folder, its record, and the dispatchers that it starts. */
final class Lab implements AutoCloseable {
    /** Something that a thread runs. */
    interface Work {
        void run() throws Exception;
    }

    /** A dispatcher: its process and its files. */
    static final class Dispatcher {
        final String name;
        final int port;
        final Path config;
        final Path operator;
        final Path log;
        Process process;

        Dispatcher(String name, int port, Path folder) {
            this.name = name;
            this.port = port;
            config = folder.resolve(name + ".json");
            operator = folder.resolve(name + ".toml");
            log = folder.resolve(name + ".log");
        }
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** A case: returns 1 if the rule was broken, 0 if it held. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** How long a run may take, in milliseconds. */
    private static final double LIMIT_MS = 117_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Set<Integer> GIVEN = new HashSet<>();

    final Path folder;
    final Path root;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<Dispatcher> dispatchers = new ArrayList<>();

    /** Creates a run; the case's folder is the working directory's review/NUMBER. */
    Lab(String number) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = new Record(root.resolve("review").resolve(number).resolve("record.txt"));
        folder = Files.createTempDirectory("rampshift-review-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Runs a case and exits with its status, or with 2 if it could not run. */
    static void main(String number, Case what) {
        int status = 2;
        try (Lab lab = new Lab(number)) {
            daemon(() -> {
                sleep(LIMIT_MS);
                System.out.println("could not run: it took too long");
                System.exit(2);
            });
            try {
                status = what.run(lab);
            } catch (CannotRun e) {
                lab.record.say("could not run: %s", e.getMessage());
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The peer has left.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(double millis) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a port of 127.0.0.1 that is free for TCP and UDP, below those that the system gives to clients. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + (int) (Math.random() * PORTS);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress("127.0.0.1", port))) {
                if (GIVEN.add(udp.getLocalPort())) {
                    return tcp.getLocalPort();
                }
            } catch (java.net.BindException e) {
                continue;
            }
        }
    }

    /** Prepares a dispatcher: writes its configuration. */
    Dispatcher dispatcher(String name, Discovery discovery, String settings) throws IOException {
        Dispatcher dispatcher = new Dispatcher(name, freePort(), folder);
        Files.writeString(dispatcher.config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + dispatcher.port + "\",\"discovery\":\""
                        + discovery.address() + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                        + discovery.json() + ",\"settings\":" + settings + "}");
        dispatchers.add(dispatcher);
        return dispatcher;
    }

    /** Returns the sections [members] and [leases] of one of d1, d2, ...; the first three are keepers. */
    static String operatorFile(Path folder, int number, List<Integer> ports, String term) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < ports.size(); i++) {
            if (i != number) {
                seeds.append(seeds.length() == 0 ? "" : ", ").append("\"127.0.0.1:").append(ports.get(i))
                        .append('"');
            }
        }
        return "[members]\nfleet = \"valle\"\nlisten = \"127.0.0.1:" + ports.get(number) + "\"\nseeds = [" + seeds
                + "]\nsite = \"a\"\nperiod = \"1s\"\n[leases]\nkeepers = [\"d1\", \"d2\", \"d3\"]\ndirectory = '"
                + folder.resolve("keeper" + number) + "'\nterm = \"" + term + "\"\ndrift = 0.01\n";
    }

    /** Starts a dispatcher by the run command of the deploy file. */
    void start(Dispatcher dispatcher) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
        builder.directory(root.toFile());
        builder.environment().put("NODE_CONFIG", dispatcher.config.toString());
        builder.environment().remove("RAMPSHIFT_OPERATOR");
        if (Files.exists(dispatcher.operator)) {
            builder.environment().put("RAMPSHIFT_OPERATOR", dispatcher.operator.toString());
        }
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(dispatcher.log.toFile()));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(dispatcher.log.toFile()));
        dispatcher.process = builder.start();
        record.line("platform starts %s", dispatcher.name);
    }

    /** Waits until GET /ready answers 200. */
    void awaitReady(Dispatcher dispatcher) throws CannotRun {
        for (int i = 0; i < 300; i++) {
            if (!dispatcher.process.isAlive()) {
                throw new CannotRun(dispatcher.name + " has ended: " + log(dispatcher));
            }
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), dispatcher.port)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(
                        "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    record.line("%s is ready", dispatcher.name);
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(100);
        }
        throw new CannotRun(dispatcher.name + " is not ready after 30 s: " + log(dispatcher));
    }

    String log(Dispatcher dispatcher) {
        try {
            return Files.readString(dispatcher.log);
        } catch (IOException e) {
            return "no log";
        }
    }

    /** Runs one of the operators' commands, and returns what it prints. */
    String command(Dispatcher dispatcher, String... words) throws IOException, InterruptedException {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "target/rampshift.jar", words[0],
                "--operator", dispatcher.operator.toString()));
        line.addAll(List.of(words).subList(1, words.length));
        File output = File.createTempFile("command", ".txt", folder.toFile());
        Process process = new ProcessBuilder(line).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(output).start();
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        return Files.readString(output.toPath());
    }

    private void endAll() {
        for (Dispatcher dispatcher : dispatchers) {
            if (dispatcher.process != null) {
                dispatcher.process.destroyForcibly();
            }
        }
        for (Dispatcher dispatcher : dispatchers) {
            if (dispatcher.process != null) {
                try {
                    dispatcher.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Only a temporary folder is left behind.
        }
    }

    @Override
    public void close() {
        for (Dispatcher dispatcher : dispatchers) {
            log(dispatcher).lines().filter(line -> line.contains(" WARN ") || line.contains(" ERROR ")
                    || line.contains("leases")).limit(60).forEach(line -> record.line("log of %s: %s",
                            dispatcher.name, line));
        }
        endAll();
        record.close();
    }
}
