import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The interval of a duty is shortened in the operators' files, and all dispatchers are restarted one after the
 * other, by SIGTERM, while clients send tasks.
 */
final class ShorterInterval {
    private static final double PATIENCE_SECONDS = 1.5;
    /** The deadline, the slack on sockets, and the half second in which a late answer only earns nothing. */
    private static final long LOST_AFTER_MICROS = 2_050_000;
    private static final int SECONDS_AFTERWARDS = 35;

    private ShorterInterval() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, ShorterInterval::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 8, 20));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("look", "safe", 500, 1500);
        writeFiles(stage, "1440min");
        Set<Node> served = new HashSet<>();
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
            served.add(node);
        }
        Threads.start(() -> sendTasks(stage, served));
        // The run that is due and, as catch_up = 1 has it, the one before.
        Stage.await(40, "the end of the duty's runs", () -> dutyTasks(stage) >= 10);
        Thread.sleep(3000);
        writeFiles(stage, trouble ? "10s" : "1440min");
        for (Node node : stage.nodes) {
            synchronized (served) {
                served.remove(node);
            }
            Thread.sleep(2000);
            node.stop(3700);
            node.start();
            node.awaitReady();
            synchronized (served) {
                served.add(node);
            }
        }
        stage.journal.add("case", "restarted", "all dispatchers");
        Thread.sleep(SECONDS_AFTERWARDS * 1000L);
        return breaches(stage);
    }

    private static void writeFiles(Stage stage, String every) throws Exception {
        stage.journal.add("case", "files", "every = " + every);
        stage.operatorFiles("term = \"10s\"", "[[duty]]\nname = \"sweep\"\ntype = \"look\"\nevery = \"" + every
                + "\"\nobjects = 5\nrate = 5\ntarget = \"/api/sweep/{object}\"\n");
    }

    private static long dutyTasks(Stage stage) {
        return stage.journal.entries().stream()
                .filter(e -> e.what().equals("ran") && e.detail().contains("/api/sweep/"))
                .map(e -> e.detail().split(" ")[1]).distinct().count();
    }

    private static void sendTasks(Stage stage, Set<Node> served) throws Exception {
        for (int i = 0; true; i++) {
            synchronized (served) {
                for (Node node : served) {
                    ClientPeer.send(stage.journal, node.name, node.clientPort, "c" + i + node.name, "look",
                            PATIENCE_SECONDS);
                }
            }
            Thread.sleep(200);
        }
    }

    /** Finds tasks that were sent to a dispatcher in service and not answered in time. */
    private static List<String> breaches(Stage stage) {
        Map<String, Long> answeredAt = new HashMap<>();
        List<Journal.Entry> entries = stage.journal.entries();
        for (Journal.Entry entry : entries) {
            if (entry.what().equals("answer") && !entry.detail().contains(" none")) {
                answeredAt.put(entry.detail().split(" ")[0], entry.at());
            }
        }
        long end = stage.journal.now();
        List<String> breaches = new ArrayList<>();
        for (Journal.Entry entry : entries) {
            if (!entry.what().equals("sends") || end - entry.at() < LOST_AFTER_MICROS) {
                continue;
            }
            Long at = answeredAt.get(entry.detail().split(" ")[0]);
            if (at == null || at - entry.at() > LOST_AFTER_MICROS) {
                breaches.add("task " + entry.detail() + ", sent at " + entry.at() / 1000 + " ms, "
                        + (at == null ? "has no answer" : "was answered after " + (at - entry.at()) / 1000 + " ms"));
            }
        }
        return breaches;
    }
}
