import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** After a number of runs of a duty under one holder, the traffic of clients jumps for some seconds. */
final class ManyRuns {
    private static final int OBJECTS = 8;
    private static final int RUNS_BEFORE = Integer.getInteger("runs", 25);
    private static final double TASKS_PER_SECOND = 30;
    private static final double JUMP = 2.5;
    private static final int JUMP_SECONDS = 5;
    private static volatile double rate = TASKS_PER_SECOND;

    private ManyRuns() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, ManyRuns::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 2, 100));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("look", "safe", 300, 1500);
        stage.operatorFiles("term = \"10s\"", "[[duty]]\nname = \"pulse\"\ntype = \"look\"\nevery = \"1s\"\n"
                + "objects = " + OBJECTS + "\nrate = 20\ntarget = \"/api/pulse/{object}\"\n");
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
        Threads.start(() -> sendTasks(stage));
        Stage.await(60, RUNS_BEFORE + " runs of the duty", () -> runs(stage).size() >= RUNS_BEFORE);
        if (trouble) {
            stage.journal.add("case", "jump", "begins");
            rate = TASKS_PER_SECOND * JUMP;
        }
        Thread.sleep(JUMP_SECONDS * 1000L);
        rate = TASKS_PER_SECOND;
        stage.journal.add("case", "jump", "is over");
        Thread.sleep(8000);
        stage.leases(stage.nodes.get(0));
        return breaches(stage);
    }

    private static void sendTasks(Stage stage) throws Exception {
        double at = 0;
        long begin = System.nanoTime();
        for (int i = 0; true; i++) {
            Node node = stage.nodes.get(i % stage.nodes.size());
            ClientPeer.send(stage.journal, node.name, node.clientPort, "c" + i, "look", 1.5);
            at += 1 / rate;
            Thread.sleep(Math.max(0, (long) (at * 1000) - (System.nanoTime() - begin) / 1_000_000));
        }
    }

    /** Returns the objects that workers have run, by the number of the run in the idempotency key. */
    private static TreeMap<Long, Set<Integer>> runs(Stage stage) {
        TreeMap<Long, Set<Integer>> runs = new TreeMap<>();
        for (Journal.Entry entry : stage.journal.entries()) {
            int at = entry.detail().indexOf("key=pulse-");
            if (entry.what().equals("ran") && at >= 0) {
                String[] key = entry.detail().substring(at + 10, entry.detail().indexOf(' ', at)).split("-");
                runs.computeIfAbsent(Long.parseLong(key[0]), r -> new TreeSet<>()).add(Integer.parseInt(key[1]));
            }
        }
        return runs;
    }

    /** Finds objects that no worker has run in a run that a later one has followed. */
    private static List<String> breaches(Stage stage) {
        TreeMap<Long, Set<Integer>> runs = runs(stage);
        List<String> breaches = new ArrayList<>();
        if (runs.isEmpty()) {
            return breaches;
        }
        long last = Collections.max(runs.keySet());
        runs.forEach((run, objects) -> {
            for (int object = 0; object < OBJECTS; object++) {
                if (run < last && !objects.contains(object)) {
                    breaches.add("no worker has run object " + object + " of run " + run + ", and run " + last
                            + " has begun");
                }
            }
        });
        return breaches;
    }
}
