import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Three dispatchers, all of them keepers, and a duty whose tasks must not run twice. With trouble, its holder is killed
 * in the middle of a run and comes back. Each object of a run has to be done, or to be reported as unsure.
 */
final class Unreported implements Worker.Script {
    private static final int DISPATCHERS = 3;
    private static final int OBJECTS = 200;
    private static final int KILL_AFTER = 60;
    private static final int DOWN_MS = 4_000;

    private final Lab lab;
    /** The objects that workers have begun and done, by run. */
    private final TreeMap<Long, TreeSet<Integer>> begun = new TreeMap<>();
    private final TreeMap<Long, TreeSet<Integer>> done = new TreeMap<>();
    private String holder = "";

    private Unreported(Lab lab) {
        this.lab = lab;
    }

    private static long run(Worker.Job job) {
        return Long.parseLong(job.key().split("-")[1]);
    }

    private static int object(Worker.Job job) {
        return Integer.parseInt(job.key().split("-")[2]);
    }

    @Override
    public synchronized void begun(Worker worker, Worker.Job job) {
        begun.computeIfAbsent(run(job), run -> new TreeSet<>()).add(object(job));
        lab.record.line("%s runs %s, sent under %s", worker.uid, job.key(), job.request.field("Rampshift-Token"));
    }

    @Override
    public synchronized void ran(Worker worker, Worker.Job job) {
        done.computeIfAbsent(run(job), run -> new TreeSet<>()).add(object(job));
        lab.record.line("%s has done %s", worker.uid, job.key());
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return 50 + Math.floorMod(job.txn().hashCode(), 50);
    }

    private synchronized int doneInLastRun() {
        return done.isEmpty() ? 0 : done.lastEntry().getValue().size();
    }

    private synchronized int runsBegun() {
        return begun.size();
    }

    private void await(String what, int seconds, java.util.function.BooleanSupplier until) throws Lab.CannotRun {
        double end = Record.now() + seconds * 1000;
        while (!until.getAsBoolean()) {
            if (Record.now() > end) {
                throw new Lab.CannotRun(what + " did not come within " + seconds + " s");
            }
            Lab.sleep(20);
        }
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
            Files.writeString(all.get(i).operator, Lab.operatorFile(lab.folder, i, ports, "10s")
                    + "[[duty]]\nname = \"sale\"\ntype = \"license-sale\"\nevery = \"1440min\"\ncatch_up = 0\nobjects = "
                    + OBJECTS + "\nrate = 10\ntarget = \"/api/sale/{object}\"\n");
            lab.start(all.get(i));
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        await("the middle of the run", 40, () -> doneInLastRun() >= KILL_AFTER);
        if (lab.trouble) {
            for (Lab.Dispatcher dispatcher : all) {
                if (lab.log(dispatcher).contains("event=holds")) {
                    holder = dispatcher.name;
                    dispatcher.process.destroyForcibly();
                    dispatcher.process.waitFor();
                    lab.record.line("platform: %s, which holds the duty's lease, is killed", holder);
                    Lab.sleep(DOWN_MS);
                    lab.start(dispatcher);
                    lab.awaitReady(dispatcher);
                    break;
                }
            }
        }
        await("the last object", 60, () -> {
            synchronized (this) {
                return done.lastEntry().getValue().contains(OBJECTS - 1);
            }
        });
        Lab.sleep(5_000);
        lab.record.line("duties at d1: %s", lab.command(all.get(0), "duties"));
        return judge(all);
    }

    private synchronized int judge(List<Lab.Dispatcher> all) {
        StringBuilder logs = new StringBuilder();
        all.forEach(dispatcher -> logs.append(lab.log(dispatcher)));
        boolean anyReport = logs.indexOf("unsure") >= 0;
        long run = begun.lastKey();
        int neverBegun = 0;
        int unreported = 0;
        for (int object = 0; object < OBJECTS; object++) {
            if (!done.get(run).contains(object)) {
                boolean isBegun = begun.get(run).contains(object);
                neverBegun += isBegun ? 0 : 1;
                boolean isReported = anyReport && logs.indexOf(run + "/" + object) >= 0;
                unreported += isReported ? 0 : 1;
                lab.record.line("%s: object %d of run %d was %s, and is %s by any dispatcher",
                        isReported ? "allowed" : "BROKEN", object, run,
                        isBegun ? "begun and not done" : "never sent to a worker",
                        isReported ? "reported" : "not reported");
            }
        }
        lab.record.say("run %d: %d objects done, %d not done (%d of them never came to a worker), %d of these without a "
                + "report in any log", run, done.get(run).size(), OBJECTS - done.get(run).size(), neverBegun, unreported);
        return unreported > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new Unreported(lab).run());
    }
}
