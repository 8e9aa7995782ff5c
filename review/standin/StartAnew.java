import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Three dispatchers, all of them keepers, and a daily duty whose tasks must not run twice. When its run is over, all
 * are stopped and started again. With trouble, two of the three keepers have lost their directories before, and the
 * operator does what docs/operators/leases.md says for a majority that is lost for good.
 */
final class StartAnew implements Worker.Script {
    private static final int DISPATCHERS = 3;
    private static final int OBJECTS = 40;
    private static final int TERM_MS = 10_000;
    private static final int DOWN_MS = 3_000;
    private static final int QUIET_MS = 4_000;
    private static final int WATCHED_MS = 30_000;

    private final Lab lab;
    /** How often workers have run the task of an idempotency key, which names duty, run and object. */
    private final Map<String, Integer> runs = new HashMap<>();
    /** How many tasks of each run workers have begun. */
    private final Map<String, Integer> begun = new TreeMap<>();
    private int twice;
    private double lastAt;

    private StartAnew(Lab lab) {
        this.lab = lab;
    }

    @Override
    public synchronized void begun(Worker worker, Worker.Job job) {
        lastAt = Record.now();
        int count = runs.merge(job.key(), 1, Integer::sum);
        twice += count == 2 ? 1 : 0;
        begun.merge(job.key().substring(0, job.key().lastIndexOf('-')), 1, Integer::sum);
        lab.record.line("%s runs %s, sent under %s%s", worker.uid, job.key(), job.request.field("Rampshift-Token"),
                count > 1 ? ": BROKEN, it has run before" : "");
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return 50 + Math.floorMod(job.txn().hashCode(), 50);
    }

    /** Waits until workers have run something, and then nothing for some seconds. */
    private void awaitRunsOver() throws Lab.CannotRun {
        for (int i = 0; i < 500; i++) {
            Lab.sleep(100);
            synchronized (this) {
                if (runs.size() >= OBJECTS && runs.size() % OBJECTS == 0 && Record.now() - lastAt > QUIET_MS) {
                    return;
                }
            }
        }
        throw new Lab.CannotRun("the duty's run did not end: " + begun);
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Two machines die and come back with nothing, so that a majority of the keepers has lost its state. */
    private void loseTwo(List<Lab.Dispatcher> all) throws IOException, InterruptedException, Lab.CannotRun {
        for (int i = 0; i < 2; i++) {
            all.get(i).process.destroyForcibly();
            all.get(i).process.waitFor();
            delete(lab.folder.resolve("keeper" + i));
            lab.record.line("platform: %s is killed, its machine and directory are gone", all.get(i).name);
        }
        Lab.sleep(DOWN_MS);
        for (int i = 0; i < 2; i++) {
            lab.start(all.get(i));
            lab.awaitReady(all.get(i));
        }
        Lab.sleep(DOWN_MS);
        lab.record.line("the operator asks d3: %s", lab.command(all.get(2), "leases"));
        lab.record.line("the operator asks d1: %s", lab.command(all.get(0), "leases"));
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
        for (int i = 0; i < DISPATCHERS; i++) {
            all.add(lab.dispatcher("d" + (i + 1), discovery, Settings.of(i, DISPATCHERS,
                    Settings.type("license-sale", "unsafe", "all", 400, 1.75, 6000))));
            ports.add(Lab.freePort());
        }
        for (int i = 0; i < DISPATCHERS; i++) {
            Files.writeString(all.get(i).operator, Lab.operatorFile(lab.folder, i, ports, TERM_MS / 1000 + "s")
                    + "[[duty]]\nname = \"sale\"\ntype = \"license-sale\"\nevery = \"1440min\"\nobjects = " + OBJECTS
                    + "\nrate = 20\ntarget = \"/api/sale/{object}\"\n");
            lab.start(all.get(i));
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        awaitRunsOver();
        lab.record.line("duties at d3: %s", lab.command(all.get(2), "duties"));
        if (lab.trouble) {
            loseTwo(all);
        }
        for (Lab.Dispatcher dispatcher : all) {
            dispatcher.process.destroy();
        }
        for (Lab.Dispatcher dispatcher : all) {
            if (!dispatcher.process.waitFor(10, TimeUnit.SECONDS)) {
                throw new Lab.CannotRun(dispatcher.name + " did not end after SIGTERM");
            }
        }
        lab.record.line("the operator has stopped all dispatchers, and waits one term");
        Lab.sleep(TERM_MS + 500);
        for (int i = 0; i < DISPATCHERS; i++) {
            if (lab.trouble) {
                Files.move(lab.folder.resolve("keeper" + i), lab.folder.resolve("away" + i));
            }
            lab.start(all.get(i));
        }
        lab.record.line("the operator has %sstarted all dispatchers",
                lab.trouble ? "put all keepers' directories away and " : "");
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        Lab.sleep(WATCHED_MS);
        lab.record.line("leases at d3: %s", lab.command(all.get(2), "leases"));
        lab.record.line("duties at d3: %s", lab.command(all.get(2), "duties"));
        synchronized (this) {
            lab.record.say("tasks begun by run: %s; tasks that must not run twice and did: %d of %d", begun, twice,
                    runs.size());
            return twice > 0 ? 1 : 0;
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new StartAnew(lab).run());
    }
}
