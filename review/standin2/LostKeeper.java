import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A keeper's directory is lost and the keeper is admitted again, as the operators' page has it. */
final class LostKeeper {
    private static final int DUTIES = 6;
    /** One way between the site of d1 and d2 and that of d3. */
    private static final long WAY_MICROS = 4000;

    private LostKeeper() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, LostKeeper::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 8, 100));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("sale", "unsafe", 1500, 2000);
        StringBuilder duties = new StringBuilder();
        for (int i = 0; i < DUTIES; i++) {
            duties.append("[[duty]]\nname = \"charge").append(i).append("\"\ntype = \"sale\"\nevery = \"1440min\"\n"
                    + "catch_up = 0\nobjects = 4000\nrate = 5\ntarget = \"/api/charge" + i + "/{object}\"\n");
        }
        stage.operatorFiles("term = \"4s\"", duties.toString());
        Node d1 = stage.nodes.get(0);
        Node d2 = stage.nodes.get(1);
        Node d3 = stage.nodes.get(2);
        for (Node node : List.of(d1, d2)) {
            reach(node, d3);
            reach(d3, node);
        }
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
        Stage.await(30, "a first task of each duty", () -> least(stage) > 0);
        Thread.sleep(2000);
        d1.stop(3700);
        int before = least(stage);
        Stage.await(40, "progress without d1", () -> least(stage) > before + 40);
        for (int i = 0; i < DUTIES; i++) {
            stage.leases(d3, "hold", "charge" + i, "35s");
        }
        Thread.sleep(4000);
        stage.leases(d3);
        d1.start();
        d1.awaitReady();
        Stage.await(15, "d1's vote", () -> stage.leases(d1).contains("this is one: voting"));
        d2.stop(3700);
        if (trouble) {
            stage.journal.add("case", "lost", "the directory of d2");
            delete(d2.directory());
        }
        d2.start();
        d2.awaitReady();
        Thread.sleep(2500);
        stage.leases(d1);
        stage.leases(d1, "keepers", "d1,d2,d3");
        Thread.sleep(8000);
        stage.leases(d1);
        Thread.sleep(42000);
        stage.leases(d1);
        return breaches(stage);
    }

    /** Has one dispatcher reach another one over the way between the sites. */
    private static void reach(Node from, Node to) throws Exception {
        WayProxy way = new WayProxy(to.memberPort, WAY_MICROS);
        String text = Files.readString(from.operatorFile);
        text = text.replace("127.0.0.1:" + to.memberPort, "127.0.0.1:" + way.port);
        text = text.replace("[leases]", "[[members.reach]]\nname = \"" + to.name + "\"\naddress = \"127.0.0.1:"
                + way.port + "\"\n[leases]");
        Files.writeString(from.operatorFile, text);
    }

    private static int least(Stage stage) {
        List<Journal.Entry> entries = stage.journal.entries();
        int least = Integer.MAX_VALUE;
        for (int i = 0; i < DUTIES; i++) {
            String target = "/api/charge" + i + "/";
            least = Math.min(least, (int) entries.stream()
                    .filter(e -> e.what().equals("started") && e.detail().startsWith(target)).count());
        }
        return least;
    }

    private static void delete(Path directory) throws Exception {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
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
