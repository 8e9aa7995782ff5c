import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three dispatchers, all of them keepers, and a duty. An operator has its holder release the lease, several times.
 * With trouble, some workers run slower meanwhile. Once the next holder acts, the former one must not.
 */
final class StaleHolder implements Worker.Script {
    private static final int DISPATCHERS = 3;
    private static final int WORKERS = 8;
    private static final int SLOTS = 6;
    /** How many of the workers run slower, how much, and for how long at most. */
    private static final int SLOW_WORKERS = 2;
    private static final double SLOW_SPEED = 1 / 9.3;
    private static final int SLOW_MS = 33_000;
    private static final String TERM = "3s";
    private static final int RATE = 14;
    private static final int DUTIES = 6;
    private static final int GAP_MS = 500;
    private static final int MAX_HAND_OVERS = 16;
    /** What may be between two workers that note what they receive, in milliseconds. */
    private static final double SLACK_MS = 50;

    private final Lab lab;
    private final Map<String, Integer> sends = new TreeMap<>();
    /** The highest token of each lease that a worker has received, and since when. */
    private final Map<String, Long> highest = new TreeMap<>();
    private final Map<String, Double> highestSince = new TreeMap<>();
    private int stale;
    private int staleRuns;

    private StaleHolder(Lab lab) {
        this.lab = lab;
    }

    private static String lease(Worker.Job job) {
        return job.request.field("Rampshift-Token").split(" ")[0];
    }

    private static long token(Worker.Job job) {
        return Long.parseLong(job.request.field("Rampshift-Token").split(" ")[1]);
    }

    /** Returns for how long a higher token of the job's lease has been known, in milliseconds; 0 if none is. */
    private double staleFor(Worker.Job job) {
        boolean isOld = token(job) < highest.getOrDefault(lease(job), 0L);
        return isOld ? Record.now() - highestSince.get(lease(job)) : 0;
    }

    @Override
    public synchronized void arrived(Worker worker, Worker.Job job) {
        sends.merge(lease(job) + "/" + token(job), 1, Integer::sum);
        if (token(job) > highest.getOrDefault(lease(job), 0L)) {
            highest.put(lease(job), token(job));
            highestSince.put(lease(job), Record.now());
        }
        double staleFor = staleFor(job);
        stale += staleFor > SLACK_MS ? 1 : 0;
        lab.record.line("%s receives %s under token %d%s", worker.uid, job.txn(), token(job), staleFor > SLACK_MS
                ? ": BROKEN, " + (long) staleFor + " ms after token " + highest.get(lease(job)) : "");
    }

    @Override
    public synchronized void begun(Worker worker, Worker.Job job) {
        staleRuns += staleFor(job) > SLACK_MS ? 1 : 0;
        lab.record.line("%s runs %s", worker.uid, job.txn());
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return 230 + Math.floorMod(job.txn().hashCode(), 210);
    }

    /** Returns how many leases have been acted under with a token of this or more. */
    private synchronized long actedWith(long token) {
        return highest.values().stream().filter(each -> each >= token).count();
    }

    private void awaitTokens(long token, int seconds) throws Lab.CannotRun {
        double end = Record.now() + seconds * 1000;
        while (actedWith(token) < DUTIES) {
            if (Record.now() > end) {
                throw new Lab.CannotRun("a lease is not acted under with token " + token + " after " + seconds + " s");
            }
            Lab.sleep(20);
        }
    }

    /** Returns another dispatcher than the one that holds the lease of a duty. */
    private static String another(String leases, int duty) {
        String line = leases.lines().filter(each -> each.trim().startsWith("sweep" + duty + " ")).findFirst().orElse("");
        return line.contains(" d1 ") ? "d2" : line.contains(" d2 ") ? "d3" : "d1";
    }

    /** Has an operator move all leases, each to another dispatcher. */
    private void giveAll(Lab.Dispatcher asked) throws IOException, InterruptedException {
        String leases = lab.command(asked, "leases");
        List<Thread> commands = new ArrayList<>();
        for (int duty = 1; duty <= DUTIES; duty++) {
            String[] words = {"leases", "give", "sweep" + duty, another(leases, duty)};
            Thread command = new Thread(() -> {
                try {
                    lab.record.line("an operator: %s: %s", String.join(" ", words), lab.command(asked, words).trim());
                } catch (IOException | InterruptedException e) {
                    lab.record.line("an operator: %s: %s", String.join(" ", words), e);
                }
            });
            command.start();
            commands.add(command);
        }
        for (Thread command : commands) {
            command.join();
        }
    }

    private int run() throws IOException, InterruptedException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker("w" + i, 1, SLOTS, 20, 0, this));
            entries.add(workers.get(i).entry("in_service"));
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
            StringBuilder text = new StringBuilder(Lab.operatorFile(lab.folder, i, ports, TERM));
            for (int duty = 1; duty <= DUTIES; duty++) {
                text.append("[[duty]]\nname = \"sweep").append(duty).append("\"\ntype = \"resolve\"\n")
                        .append("every = \"1440min\"\nobjects = 40000\nrate = ").append(RATE)
                        .append("\ntarget = \"/api/resolve/{object}\"\n");
            }
            Files.writeString(all.get(i).operator, text);
            lab.start(all.get(i));
        }
        for (Lab.Dispatcher dispatcher : all) {
            lab.awaitReady(dispatcher);
        }
        awaitTokens(1, 40);
        Lab.sleep(5_000);
        setSpeed(workers, lab.trouble ? SLOW_SPEED : 1);
        double end = Record.now() + SLOW_MS;
        Lab.sleep(1_000);
        int handOvers = 0;
        while (handOvers < MAX_HAND_OVERS && Record.now() < end - 2 * GAP_MS) {
            giveAll(all.get(0));
            handOvers++;
            awaitTokens(handOvers + 1, 30);
            Lab.sleep(GAP_MS);
        }
        Lab.sleep(Math.max(0, end - Record.now()));
        setSpeed(workers, 1);
        Lab.sleep(3_000);
        synchronized (this) {
            lab.record.line("sends by lease and token: %s", sends);
            lab.record.say("%d hand-overs of each of %d leases; tasks that workers received under a token after a higher "
                    + "one: %d, of which they ran %d", handOvers, DUTIES, stale, staleRuns);
            return stale > 0 ? 1 : 0;
        }
    }

    private void setSpeed(List<Worker> workers, double speed) {
        for (int i = 0; i < SLOW_WORKERS; i++) {
            workers.get(i).speed(speed);
        }
        lab.record.line("%d of %d workers run at %.2f of their speed", SLOW_WORKERS, WORKERS, speed);
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new StaleHolder(lab).run());
    }
}
