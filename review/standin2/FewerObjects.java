import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

/**
 * The list of a duty's objects gets shorter in the middle of a run, and all dispatchers are restarted one after
 * the other, by SIGTERM. A second duty stays as it is.
 */
final class FewerObjects {
    private static final int BEFORE = 200;
    private static final int AFTER = 20;
    private static final int SECONDS_AFTERWARDS = 60;

    private FewerObjects() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 1, FewerObjects::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 4, 50));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("look", "safe", 1500, 2000);
        writeFiles(stage, BEFORE);
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
        Stage.await(30, "the middle of a run", () -> count(stage, "/api/sweep/", 0) >= BEFORE / 4);
        if (trouble) {
            writeFiles(stage, AFTER);
        }
        for (Node node : stage.nodes) {
            node.stop(3700);
            node.start();
            node.awaitReady();
        }
        long from = stage.journal.add("case", "restarted", "all dispatchers");
        Thread.sleep(SECONDS_AFTERWARDS * 1000L);
        for (Node node : stage.nodes) {
            for (String line : Files.readAllLines(node.log)) {
                if (line.contains("WARN") || line.contains("ERROR") || line.contains("leases")) {
                    stage.journal.add(node.name, "log", line);
                }
            }
        }
        List<String> breaches = new ArrayList<>();
        if (count(stage, "/api/pulse/", from + 20_000_000) == 0) {
            breaches.add("no task of the duty pulse, due each 2 s, in the last "
                    + (SECONDS_AFTERWARDS - 20) + " s; its file is unchanged");
        }
        return breaches;
    }

    private static long count(Stage stage, String target, long from) {
        return stage.journal.entries().stream().filter(e -> e.at() >= from && e.what().equals("ran")
                && e.detail().contains(target)).count();
    }

    private static void writeFiles(Stage stage, int lines) throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            text.append("o").append(i).append('\n');
        }
        stage.journal.add("case", "files", "objects_from has " + lines + " lines");
        Files.writeString(stage.folder.resolve("objects"), text);
        stage.operatorFiles("term = \"5s\"", "[[duty]]\nname = \"sweep\"\ntype = \"look\"\nevery = \"1440min\"\n"
                + "objects_from = \"" + stage.folder.resolve("objects")
                + "\"\nrate = 8\ntarget = \"/api/sweep/{object}\"\n"
                + "[[duty]]\nname = \"pulse\"\ntype = \"look\"\nevery = \"2s\"\nobjects = 1\nrate = 1\n"
                + "target = \"/api/pulse/{object}\"\n");
    }
}
