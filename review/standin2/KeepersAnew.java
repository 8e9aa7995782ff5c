import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A majority of the keepers is lost for good, and the operators start anew, as their page has it. */
final class KeepersAnew {
    private static final int OBJECTS = 30;
    private static final int TERM_SECONDS = 5;

    private KeepersAnew() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, KeepersAnew::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 4, 200));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("sale", "unsafe", 2000, 3000);
        stage.operatorFiles("term = \"" + TERM_SECONDS + "s\"", "[[duty]]\nname = \"charge\"\ntype = \"sale\"\n"
                + "every = \"1440min\"\ncatch_up = 0\nobjects = " + OBJECTS
                + "\nrate = 8\ntarget = \"/api/charge/{object}\"\n");
        startAll(stage);
        Stage.await(40, "a whole run", () -> done(stage) >= OBJECTS);
        Thread.sleep(3000);
        stage.command("duties", "--operator", stage.nodes.get(2).operatorFile.toString());
        for (int i = 0; i < 2; i++) {
            if (trouble) {
                stage.nodes.get(i).kill();
                putAway(stage, stage.nodes.get(i));
            } else {
                stage.nodes.get(i).stop(3700);
            }
        }
        stage.nodes.get(2).stop(3700);
        Thread.sleep(TERM_SECONDS * 1000L + 500);
        if (trouble) {
            putAway(stage, stage.nodes.get(2));
        }
        startAll(stage);
        Thread.sleep(30_000);
        stage.command("duties", "--operator", stage.nodes.get(2).operatorFile.toString());
        return breaches(stage);
    }

    private static void startAll(Stage stage) throws Exception {
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
    }

    private static void putAway(Stage stage, Node node) throws Exception {
        Path away = stage.folder.resolve("away-" + node.name);
        Files.move(node.directory(), away);
        stage.journal.add(node.name, "away", "its keeper directory");
    }

    private static long done(Stage stage) {
        return stage.journal.entries().stream().filter(e -> e.what().equals("ran"))
                .map(e -> e.detail().split(" ")[0]).distinct().count();
    }

    /** Finds non-idempotent tasks of a run that workers have run more than once. */
    private static List<String> breaches(Stage stage) {
        Map<String, String> first = new HashMap<>();
        List<String> breaches = new ArrayList<>();
        for (Journal.Entry entry : stage.journal.entries()) {
            if (!entry.what().equals("started")) {
                continue;
            }
            String key = entry.detail().replaceAll(".*key=(\\S+).*", "$1");
            String before = first.putIfAbsent(key, entry.detail());
            if (before != null) {
                breaches.add(entry.who() + " started " + entry.detail() + ", which had been started as " + before);
            }
        }
        return breaches;
    }
}
