import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three dispatchers with leases and one duty of ten objects, every two seconds; six workers; clients. With trouble,
 * the clients' traffic jumps for some seconds, twice. Each run that began has to do all its objects.
 */
final class LostObjects implements Worker.Script {
    private static final int DISPATCHERS = 3;
    private static final int OBJECTS = 10;
    private static final double USUAL_PER_SECOND = 55;
    private static final double JUMP = 2.5;
    private static final int JUMP_MS = 8_000;
    private static final int FIRST_JUMP_MS = 6_000;
    private static final int SECOND_JUMP_MS = 48_000;
    private static final int LOAD_MS = 58_000;
    private static final int AFTER_MS = 20_000;

    private final Lab lab;
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    /** The objects that workers have done, by run. */
    private final Map<Long, TreeSet<Integer>> done = new TreeMap<>();
    /** The objects that came to a worker, by run. */
    private final Map<Long, TreeSet<Integer>> sent = new TreeMap<>();

    private LostObjects(Lab lab) {
        this.lab = lab;
    }

    private synchronized void note(Map<Long, TreeSet<Integer>> where, Worker.Job job) {
        String[] key = job.key().split("-");
        where.computeIfAbsent(Long.parseLong(key[1]), run -> new TreeSet<>()).add(Integer.parseInt(key[2]));
    }

    @Override
    public void arrived(Worker worker, Worker.Job job) {
        if (job.key().startsWith("sweep-")) {
            lab.record.line("%s receives %s", worker.uid, job.txn());
            note(sent, job);
        }
    }

    @Override
    public void ran(Worker worker, Worker.Job job) {
        if (job.key().startsWith("sweep-")) {
            lab.record.line("%s has done %s", worker.uid, job.txn());
            note(done, job);
        }
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        int spread = Math.floorMod(job.txn().hashCode(), 1000);
        return 230 + spread * 210 / 1000;
    }

    private boolean jumps(double sinceStart) {
        return lab.trouble && (sinceStart >= FIRST_JUMP_MS && sinceStart < FIRST_JUMP_MS + JUMP_MS
                || sinceStart >= SECOND_JUMP_MS && sinceStart < SECOND_JUMP_MS + JUMP_MS);
    }

    private void load(List<Lab.Dispatcher> all) {
        List<Client> clients = new ArrayList<>();
        all.forEach(dispatcher -> clients.add(new Client(dispatcher.port)));
        Random gaps = new Random(11);
        double start = Record.now();
        double next = start;
        boolean before = false;
        while (Record.now() - start < LOAD_MS) {
            boolean now = jumps(Record.now() - start);
            if (now != before) {
                lab.record.line("clients: %s", now ? "the traffic jumps" : "the traffic is as usual again");
                before = now;
            }
            int number = asked.getAndIncrement();
            Lab.daemon(() -> {
                Http.Message answer = clients.get(number % clients.size()).ask("resolve", "o" + number,
                        String.format("%016x", 0x7200000000000000L + number), null, null, 5.0);
                int status = answer == null ? 0 : answer.status();
                served.addAndGet(status == 200 ? 1 : 0);
                refused.addAndGet(status == 503 ? 1 : 0);
            });
            next += -Math.log(1 - gaps.nextDouble()) * 1000 / (USUAL_PER_SECOND * (now ? JUMP : 1));
            Lab.sleep(Math.max(0, next - Record.now()));
        }
    }

    private int run() throws IOException, InterruptedException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            entries.add(new Worker("w" + i, 1, 5, 20, 0, this).entry("in_service"));
        }
        discovery.list(entries);
        List<Lab.Dispatcher> all = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            all.add(lab.dispatcher("d" + (i + 1), discovery, Settings.of(i, DISPATCHERS,
                    Settings.type("resolve", "safe", "all", 400, 2.5, 5000))));
            ports.add(Lab.freePort());
        }
        for (int i = 0; i < DISPATCHERS; i++) {
            Files.writeString(all.get(i).operator, Lab.operatorFile(lab.folder, i, ports, "10s")
                    + "ledger = '" + lab.folder.resolve("leases" + i + ".ledger") + "'\n"
                    + "[[duty]]\nname = \"sweep\"\ntype = \"resolve\"\nevery = \"2s\"\nobjects = " + OBJECTS
                    + "\nrate = 10\ntarget = \"/api/resolve/{object}\"\n");
            lab.start(all.get(i));
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        for (int i = 0; i < 300 && sent.isEmpty(); i++) {
            Lab.sleep(100);
        }
        if (sent.isEmpty()) {
            throw new Lab.CannotRun("the duty did not begin: " + lab.command(all.get(0), "leases"));
        }
        load(all);
        lab.record.line("clients: the last has asked");
        Lab.sleep(AFTER_MS);
        for (int i = 0; i < DISPATCHERS; i++) {
            for (String line : Files.readAllLines(lab.folder.resolve("leases" + i + ".ledger"))) {
                if (line.contains("duty-given-up") || line.contains("duty-unsure")
                        || line.contains("duty-missed")) {
                    lab.record.line("ledger of d%d: %s", i + 1, line);
                }
            }
        }
        return judge();
    }

    private synchronized int judge() {
        int lost = 0;
        long first = ((TreeMap<Long, TreeSet<Integer>>) sent).firstKey();
        long last = ((TreeMap<Long, TreeSet<Integer>>) sent).lastKey();
        for (Map.Entry<Long, TreeSet<Integer>> run : sent.entrySet()) {
            TreeSet<Integer> of = done.getOrDefault(run.getKey(), new TreeSet<>());
            for (int object = 0; object < OBJECTS; object++) {
                if (run.getKey() < last - 1 && !of.contains(object)) {
                    lost++;
                    lab.record.line("BROKEN: object %d of run %d (number %d here) was never done", object,
                            run.getKey(), run.getKey() - first + 1);
                }
            }
        }
        lab.record.say("clients: %d asked, %d served, %d refused; %d runs began; objects that were never done: %d",
                asked.get(), served.get(), refused.get(), sent.size(), lost);
        return lost > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new LostObjects(lab).run());
    }
}
