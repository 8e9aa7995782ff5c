import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three dispatchers with leases and one duty, nine workers. With trouble, an operator has the holder hand the
 * lease over, some times, and two of the workers are slow meanwhile. Workers record the first byte of each send
 * with its fencing token.
 */
final class Handover implements Worker.Script {
    private static final int DISPATCHERS = 3;
    private static final int WORKERS = 9;
    private static final int EPISODES = 6;
    private static final int SLOW_MS = 12_500;
    private static final int CALM_MS = 4_000;
    private static final double SLOW_SPEED = 1 / 9.0;
    private static final String DUTY = "sweep";
    /** How much later than the first send of the next holder a send counts as one of the former holder. */
    private static final int AFTER_MS = 50;

    private final Lab lab;
    /** When the first send under each token came. */
    private final Map<Long, Double> firstSend = new TreeMap<>();
    private int stale;
    private int staleRuns;
    private int sends;

    private Handover(Lab lab) {
        this.lab = lab;
    }

    private static long token(Worker.Job job) {
        String[] words = job.request.field("Rampshift-Token").split(" ");
        return words.length == 2 ? Long.parseLong(words[1]) : 0;
    }

    /** Returns how long after the first send under a newer token the job came; not above 0 if it did not. */
    private synchronized double lateness(Worker.Job job) {
        long token = token(job);
        for (Map.Entry<Long, Double> entry : firstSend.entrySet()) {
            if (entry.getKey() > token) {
                return job.request.firstByteAt - entry.getValue();
            }
        }
        return 0;
    }

    @Override
    public synchronized void arrived(Worker worker, Worker.Job job) {
        long token = token(job);
        sends++;
        firstSend.putIfAbsent(token, job.request.firstByteAt);
        boolean old = lateness(job) > AFTER_MS;
        lab.record.line("%s receives %s of %s, token %d%s", worker.uid, job.txn(), job.target(), token,
                old ? String.format(": STALE, %.0f ms after the first under a newer token", lateness(job)) : "");
        stale += old ? 1 : 0;
    }

    @Override
    public synchronized void begun(Worker worker, Worker.Job job) {
        boolean old = lateness(job) > AFTER_MS;
        staleRuns += old ? 1 : 0;
        lab.record.line("%s runs %s, token %d%s", worker.uid, job.txn(), token(job), old ? ": STALE" : "");
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return 350 + Math.floorMod(job.txn().hashCode(), 330);
    }

    private synchronized boolean isBroken() {
        return stale > 0;
    }

    private synchronized int tokens() {
        return firstSend.size();
    }

    private String holder(List<Lab.Dispatcher> all) {
        String holder = "";
        double last = -1;
        for (Lab.Dispatcher dispatcher : all) {
            for (String line : lab.log(dispatcher).lines().toList()) {
                if (line.contains("lease=" + DUTY) && line.contains("event=holds")) {
                    double token = Double.parseDouble(line.replaceAll(".* token=(\\d+).*", "$1"));
                    holder = token > last ? dispatcher.name : holder;
                    last = Math.max(last, token);
                }
            }
        }
        return holder;
    }

    private int run() throws IOException, InterruptedException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker("w" + i, 1, 6, 40, 0, this));
            entries.add(workers.get(i).entry("in_service"));
        }
        discovery.list(entries);
        List<Lab.Dispatcher> all = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            all.add(lab.dispatcher("d" + (i + 1), discovery, Settings.of(i, DISPATCHERS,
                    Settings.type("rederive", "safe", "all", 250, 2.5, 6000))));
            ports.add(Lab.freePort());
        }
        for (int i = 0; i < DISPATCHERS; i++) {
            Files.writeString(all.get(i).operator, Lab.operatorFile(lab.folder, i, ports, "3s")
                    + "[[duty]]\nname = \"" + DUTY + "\"\ntype = \"rederive\"\nevery = \"1440min\"\n"
                    + "objects = 40000\nrate = 50\ntarget = \"/api/rederive/{object}\"\n");
            lab.start(all.get(i));
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        for (int i = 0; i < 300 && sends < 100; i++) {
            Lab.sleep(100);
        }
        if (sends < 100) {
            throw new Lab.CannotRun("the duty did not begin: " + lab.command(all.get(0), "leases"));
        }
        int handedOver = 0;
        for (int episode = 0; episode < EPISODES && !(isBroken() && !Boolean.getBoolean("all")); episode++) {
            List<Worker> slow = List.of(workers.get(2 * episode % WORKERS), workers.get((2 * episode + 1) % WORKERS));
            int tokens = tokens();
            if (lab.trouble) {
                String from = holder(all);
                String to = from.equals("d1") ? "d2" : "d1";
                String answer = lab.command(all.get(2), "leases", "give", DUTY, to);
                lab.record.line("an operator: leases give %s %s (held by %s): %s", DUTY, to, from, answer.trim());
                for (Worker worker : slow) {
                    worker.speed(SLOW_SPEED);
                    lab.record.line("%s is slow", worker.uid);
                }
            }
            Lab.sleep(SLOW_MS);
            for (Worker worker : slow) {
                worker.speed(1);
                lab.record.line("%s is as fast as ever", worker.uid);
            }
            Lab.sleep(CALM_MS);
            handedOver += tokens() > tokens ? 1 : 0;
        }
        synchronized (this) {
            lab.record.say("%d sends; %d hand-overs, tokens %s; stale sends %d, of these %d ran", sends, handedOver,
                    firstSend.keySet(), stale, staleRuns);
            if (lab.trouble && handedOver == 0) {
                throw new Lab.CannotRun("no hand-over took place");
            }
            return stale > 0 ? 1 : 0;
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new Handover(lab).run());
    }
}
