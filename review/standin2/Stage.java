import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** The small deployment of a case: dispatchers that know each other, with the stand-ins around them. */
final class Stage {
    private static final Set<Integer> PORTS = new LinkedHashSet<>();
    private static final SecureRandom DRAWS = new SecureRandom();

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Journal journal = new Journal();
    final List<Process> processes = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    AgentPeer agent;
    /** The traffic types: name, effect, due time and expiry in milliseconds. */
    String types;
    boolean mayProbe = true;

    Stage(int dispatchers) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        for (int i = 1; i <= dispatchers; i++) {
            nodes.add(new Node(this, "d" + i));
        }
    }

    static String type(String name, String effect, int dueMillis, int expiryMillis) {
        return "{\"Name\":\"" + name + "\",\"DueTimeMs\":" + dueMillis + ".0,\"ExpiryMs\":" + expiryMillis
                + ".0,\"Earnings\":1.0,\"TardyEarnings\":0.5,\"WindowMs\":5000.0,\"Effect\":\"" + effect
                + "\",\"DedupScope\":\"cell\"}";
    }

    String configuration(Node node, int start) {
        return "{\"name\":\"" + node.name + "\",\"listen\":\"127.0.0.1:" + node.clientPort
                + "\",\"discovery\":\"" + agent.address() + "\",\"seed\":\"" + Integer.toHexString(4096
                        + 16 * start + nodes.indexOf(node))
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + agent.list()
                + ",\"settings\":{\"Zones\":[\"one\"],\"Kinds\":[\"m\"],\"Zone\":0,\"Me\":" + nodes.indexOf(node)
                + ",\"PeersTotal\":" + nodes.size() + ",\"GranularityMs\":1.0,\"WeightSource\":\"nominal\","
                + "\"Costs\":{\"CrossZone\":0.1,\"Waste\":0.01,\"Probe\":0.01},\"FamilyInfo\":"
                + "{\"TellsStart\":true,\"ProgressMs\":0.0,\"ReportX0\":\"free slots\"},\"LoadInfo\":"
                + "{\"How\":\"inline\",\"Names\":[\"x0\",\"queue\"]},\"Limits\":{\"Cancel\":true,"
                + "\"SecondCopies\":true,\"RetryAfter\":true,\"MaxRetryAfterMs\":2000.0,\"MayProbe\":" + mayProbe
                + ",\"MostAssignments\":5,\"DialTimeoutMs\":100.0,\"ConnIdleMs\":60000.0},\"Rules\":"
                + "{\"ColdFrom\":0.12,\"ColdMs\":8000.0,\"TipMultiple\":4.0,\"FallMs\":1500.0,"
                + "\"StopSendingWithinMs\":250.0},\"TrafficTypes\":[" + types + "]}}";
    }

    /** Writes the operators' files of all dispatchers; all of them are keepers. */
    void operatorFiles(String leases, String duties) throws IOException {
        String names = String.join(", ", nodes.stream().map(n -> "\"" + n.name + "\"").toList());
        for (Node node : nodes) {
            String seeds = String.join(", ", nodes.stream().filter(n -> n != node)
                    .map(n -> "\"127.0.0.1:" + n.memberPort + "\"").toList());
            Files.writeString(node.operatorFile, "[members]\nfleet = \"review\"\nlisten = \"127.0.0.1:"
                    + node.memberPort + "\"\nseeds = [" + seeds + "]\nsite = \"one\"\nperiod = \"200ms\"\n"
                    + "[leases]\nkeepers = [" + names + "]\ndirectory = \"" + node.directory() + "\"\n" + leases
                    + "\n" + duties);
        }
    }

    /** Runs a command of the program and returns what it printed. */
    String command(String... words) throws Exception {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "target/rampshift.jar"));
        line.addAll(List.of(words));
        Process process = new ProcessBuilder(line).directory(root.toFile()).redirectErrorStream(true).start();
        processes.add(process);
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        journal.add("operator", "command", String.join(" ", words) + " -> " + text.strip().replace("\n", " | "));
        return text;
    }

    /** Asks or tells the dispatcher of a node about leases. */
    String leases(Node node, String... words) throws Exception {
        List<String> line = new ArrayList<>(List.of("leases"));
        line.addAll(List.of(words));
        line.addAll(List.of("--operator", node.operatorFile.toString()));
        return command(line.toArray(new String[0]));
    }

    /**
     * Returns a port that is free for streams and datagrams, from below those that the system gives to clients, so
     * that two runs at once don't draw the same one.
     */
    static synchronized int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        while (true) {
            int port = 11_000 + DRAWS.nextInt(20_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                    DatagramSocket udp = new DatagramSocket(port, loopback)) {
                if (PORTS.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // The port is taken: the next one.
            }
        }
    }

    /** Waits until a condition holds; throws {@link CouldNotRun} if it doesn't in time. */
    static void await(double seconds, String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                throw new CouldNotRun(what + " did not come to be in " + seconds + " s");
            }
            Thread.sleep(20);
        }
    }

    /** Ends all processes of the run and removes its folder. */
    void end() {
        for (Process process : List.copyOf(processes)) {
            process.destroyForcibly();
        }
        try {
            for (Process process : List.copyOf(processes)) {
                process.waitFor();
            }
            if (System.getenv("KEEP") != null) {
                return;
            }
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
            }
        } catch (IOException | InterruptedException e) {
            // Only the temporary folder is left.
        }
    }
}
