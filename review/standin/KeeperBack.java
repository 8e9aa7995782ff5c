import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Three dispatchers, all of them keepers, with duties whose tasks must not run twice. One of them
 * is killed and comes back; with trouble, another one's machine is then replaced, its directory is lost, and the
 * replacement is admitted as docs/operators/leases.md says.
 */
final class KeeperBack implements Worker.Script {
    private static final int DUTIES = 12;
    private static final String TERM = "10s";
    private static final int DOWN_MS = 6_000;
    private static final double WAY_MS = 4;

    private final Lab lab;
    /** By lease and token. */
    private final Map<String, Integer> sends = new TreeMap<>();
    /** By idempotency key, which names duty, run and object. */
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> highest = new TreeMap<>();
    private int fallen;
    private int twice;

    private KeeperBack(Lab lab) {
        this.lab = lab;
    }

    private static String lease(Worker.Job job) {
        return job.request.field("Rampshift-Token").split(" ")[0];
    }

    private static long token(Worker.Job job) {
        return Long.parseLong(job.request.field("Rampshift-Token").split(" ")[1]);
    }

    @Override
    public synchronized void arrived(Worker worker, Worker.Job job) {
        long token = token(job);
        sends.merge(lease(job) + "/" + token, 1, Integer::sum);
        boolean old = token < highest.getOrDefault(lease(job), 0L);
        fallen += old ? 1 : 0;
        highest.merge(lease(job), token, Math::max);
        lab.record.line("%s receives %s, token %d%s", worker.uid, job.txn(), token, old ? ": FALLEN" : "");
    }

    @Override
    public synchronized void begun(Worker worker, Worker.Job job) {
        int count = runs.merge(job.key(), 1, Integer::sum);
        twice += count == 2 ? 1 : 0;
        lab.record.line("%s runs %s, token %d%s", worker.uid, job.key(), token(job), count > 1 ? ": AGAIN" : "");
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return 350 + Math.floorMod(job.txn().hashCode(), 330);
    }

    /** Returns how many leases have been acted under with this token or a higher one. */
    private synchronized long actedWith(long token) {
        return highest.values().stream().filter(each -> each >= token).count();
    }

    private void await(String what, int seconds, java.util.function.BooleanSupplier until) throws Lab.CannotRun {
        double end = Record.now() + seconds * 1000;
        while (!until.getAsBoolean()) {
            if (Record.now() > end) {
                throw new Lab.CannotRun(what + " did not come within " + seconds + " s");
            }
            Lab.sleep(50);
        }
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Has a dispatcher reach another one at a port of a way. */
    private static void reach(Lab.Dispatcher from, String to, int port) throws IOException {
        String text = Files.readString(from.operator);
        String table = "[[members.reach]]\nname = \"" + to + "\"\naddress = \"127.0.0.1:" + port + "\"\n";
        Files.writeString(from.operator, text.replace("[leases]", table + "[leases]"));
    }

    private void kill(Lab.Dispatcher dispatcher) throws InterruptedException {
        dispatcher.process.destroyForcibly();
        dispatcher.process.waitFor();
        lab.record.line("platform: %s is killed", dispatcher.name);
    }

    private int run() throws IOException, InterruptedException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            entries.add(new Worker("w" + i, 1, 8, 40, 0, this).entry("in_service"));
        }
        discovery.list(entries);
        List<Lab.Dispatcher> all = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(lab.dispatcher("d" + (i + 1), discovery, Settings.of(i, 3,
                    Settings.type("license-sale", "unsafe", "all", 400, 1.75, 6000))));
            ports.add(Lab.freePort());
        }
        for (int i = 0; i < 3; i++) {
            StringBuilder text = new StringBuilder(Lab.operatorFile(lab.folder, i, ports, TERM));
            for (int duty = 1; duty <= DUTIES; duty++) {
                text.append("[[duty]]\nname = \"sale").append(duty).append("\"\ntype = \"license-sale\"\n")
                        .append("every = \"1440min\"\nobjects = 40000\nrate = 4\ntarget = \"/api/sale")
                        .append(duty).append("/{object}\"\n");
            }
            Files.writeString(all.get(i).operator, text);
        }
        // d1 stands in the other site than d2 and d3.
        for (int other = 1; other < 3; other++) {
            Way way = new Way(ports.get(0), ports.get(other), WAY_MS);
            reach(all.get(0), "d" + (other + 1), way.portToSecond());
            reach(all.get(other), "d1", way.portToFirst());
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.start(dispatcher);
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        await("holders of all leases", 40, () -> actedWith(1) == DUTIES);
        Lab.sleep(2000);
        Lab.Dispatcher c = all.get(0);
        Lab.Dispatcher a = all.get(1);
        Lab.Dispatcher b = all.get(2);
        lab.record.line("d1: %s", lab.command(c, "leases"));
        kill(a);
        Lab.sleep(DOWN_MS);
        lab.start(a);
        lab.awaitReady(a);
        if (lab.trouble) {
            kill(b);
            delete(lab.folder.resolve("keeper2"));
            lab.record.line("platform: %s has a new, empty disk", b.name);
            lab.start(b);
            await("the state lost", 20, () -> lab.log(b).contains("detail=LOST"));
            lab.record.line("an operator: leases keepers d1,d2,d3: %s",
                    lab.command(b, "leases", "keepers", "d1,d2,d3").trim());
        }
        for (int i = 0; i < 4; i++) {
            Lab.sleep(10_000);
            lab.record.line("%s: %s", c.name, lab.command(c, "leases"));
        }
        synchronized (this) {
            lab.record.say("sends by token %s; sends under a fallen token %d; objects that ran twice %d", sends, fallen,
                    twice);
            return fallen > 0 || twice > 0 ? 1 : 0;
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new KeeperBack(lab).run());
    }
}
