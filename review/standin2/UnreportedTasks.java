import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** The holder of a lease is killed while non-idempotent tasks of its duty are in flight. */
final class UnreportedTasks {
    private static final int OBJECTS = 60;

    private UnreportedTasks() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, UnreportedTasks::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 4, 300));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("sale", "unsafe", 2000, 3000);
        stage.operatorFiles("term = \"5s\"", "[[duty]]\nname = \"charge\"\ntype = \"sale\"\nevery = \"1440min\"\n"
                + "catch_up = 0\nobjects = " + OBJECTS + "\nrate = 8\ntarget = \"/api/charge/{object}\"\n");
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
        Stage.await(30, "half a run", () -> started(stage).size() >= OBJECTS / 2);
        if (trouble) {
            Node holder = holder(stage);
            holder.kill();
            Thread.sleep(2000);
            holder.start();
        }
        Stage.await(60, "the end of the run", () -> stage.command("duties", "--operator",
                stage.nodes.get(0).operatorFile.toString()).matches("(?s).*charge +run [1-9]\\d* over.*")
                || pause());
        Thread.sleep(2000);
        return breaches(stage);
    }

    private static boolean pause() throws InterruptedException {
        Thread.sleep(1500);
        return false;
    }

    private static Node holder(Stage stage) throws Exception {
        String page = stage.leases(stage.nodes.get(0));
        for (Node node : stage.nodes) {
            if (page.matches("(?s).* charge +" + node.name + " .*")) {
                return node;
            }
        }
        throw new CouldNotRun("nobody holds the lease: " + page);
    }

    private static Set<String> started(Stage stage) {
        return stage.journal.entries().stream().filter(e -> e.what().equals("started"))
                .map(e -> e.detail().split(" ")[0]).collect(Collectors.toCollection(TreeSet::new));
    }

    /** Finds tasks of the run that no worker has run, if no log says anything of such tasks. */
    private static List<String> breaches(Stage stage) throws Exception {
        Set<String> started = started(stage);
        boolean reported = false;
        for (Node node : stage.nodes) {
            List<String> lines = Files.readAllLines(node.log);
            for (String line : lines) {
                boolean unsure = line.contains("unsure");
                reported |= unsure;
                if (unsure || line.contains("lease=charge")) {
                    stage.journal.add(node.name, "log", line);
                }
            }
        }
        List<String> breaches = new ArrayList<>();
        for (int object = 0; object < OBJECTS; object++) {
            if (!reported && !started.contains("/api/charge/" + object)) {
                breaches.add("the run is over; no worker has run object " + object
                        + ", and no log of any dispatcher has a line duty-unsure");
            }
        }
        return breaches;
    }
}
