import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A lease is handed over by the operators' command while tasks of its duty are in flight. */
final class HandOver {
    private static final int GIVES = 8;
    private static final long SLACK_MICROS = 50_000;

    private HandOver() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, 3, HandOver::run);
    }

    private static List<String> run(Stage stage, boolean trouble) throws Exception {
        List<WorkerPeer> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new WorkerPeer("w" + i, stage.journal, 2, 1500));
        }
        stage.agent = new AgentPeer(workers, List.of(1, 1, 1));
        stage.types = Stage.type("look", "safe", 4000, 5000);
        stage.operatorFiles("term = \"10s\"", "[[duty]]\nname = \"sweep\"\ntype = \"look\"\nevery = \"1440min\"\n"
                + "objects = 4000\nrate = 6\ntarget = \"/api/sweep/{object}\"\n");
        for (Node node : stage.nodes) {
            node.start();
        }
        for (Node node : stage.nodes) {
            node.awaitReady();
        }
        Stage.await(30, "a first task of the duty", () -> highestToken(stage) > 0);
        Thread.sleep(6000);
        for (int give = 1; give <= GIVES; give++) {
            long before = highestToken(stage);
            if (trouble) {
                stage.leases(stage.nodes.get(0), "give", "sweep", nextHolder(stage));
                Stage.await(15, "a task under the next token", () -> highestToken(stage) > before);
            }
            Thread.sleep(5000);
        }
        return breaches(stage);
    }

    /** Returns a dispatcher that does not hold the lease now. */
    private static String nextHolder(Stage stage) throws Exception {
        String page = stage.leases(stage.nodes.get(0));
        for (Node node : stage.nodes) {
            if (!page.matches("(?s).* sweep +" + node.name + " .*")) {
                return node.name;
            }
        }
        throw new CouldNotRun("no other dispatcher: " + page);
    }

    private static long highestToken(Stage stage) {
        return stage.journal.entries().stream().filter(e -> e.what().equals("received"))
                .mapToLong(e -> token(e.detail())).max().orElse(0);
    }

    private static long token(String detail) {
        int at = detail.indexOf("token=sweep/");
        return at < 0 ? 0 : Long.parseLong(detail.substring(at + 12, detail.indexOf(' ', at)));
    }

    /**
     * Finds tasks that a worker received, started or was running under a token, well after one under a higher
     * token had been started: the former holder still acts then, beside the next one.
     */
    private static List<String> breaches(Stage stage) {
        Map<Long, Long> firstStart = new TreeMap<>();
        for (Journal.Entry entry : stage.journal.entries()) {
            if (entry.what().equals("started")) {
                firstStart.putIfAbsent(token(entry.detail()), entry.at());
            }
        }
        List<String> breaches = new ArrayList<>();
        for (String what : List.of("received", "started", "ran")) {
            for (Journal.Entry entry : stage.journal.entries()) {
                Long next = firstStart.get(token(entry.detail()) + 1);
                if (entry.what().equals(what) && next != null && entry.at() > next + SLACK_MICROS) {
                    String saw = what.equals("ran") ? " was still running " : " " + what + " ";
                    breaches.add(entry.who() + saw + entry.detail() + " " + (entry.at() - next) / 1000
                            + " ms after the start of the first one under token " + (token(entry.detail()) + 1));
                }
            }
        }
        return breaches;
    }
}
