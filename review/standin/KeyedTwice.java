import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One dispatcher, four workers in two groups, clients with keyed tasks. Workers turn tasks away while they are
 * full. With trouble, part of these answers come a second time some milliseconds later.
 */
final class KeyedTwice implements Worker.Script {
    private static final int SECOND_ANSWER_MS = 8;
    private static final double WAY_MS = 4;
    private static final double SPOILT_SHARE = 0.5;
    private static final int LOAD_MS = 40_000;
    private static final int MEAN_GAP_MS = 10;

    private final Lab lab;
    private final Random random = new Random(7);
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    /** By transaction: the group in which it first ran, the sends and the effects. */
    private final Map<String, List<String>> sends = new ConcurrentHashMap<>();
    /** The groups that have applied the effect of a key; a group drops repeats. */
    private final Map<String, List<Integer>> effects = new ConcurrentHashMap<>();

    private KeyedTwice(Lab lab) {
        this.lab = lab;
    }

    @Override
    public void arrived(Worker worker, Worker.Job job) {
        lab.record.line("%s receives %s on connection %d", worker.uid, job.txn(), job.port());
    }

    @Override
    public void begun(Worker worker, Worker.Job job) {
        runs.incrementAndGet();
        if (job.key().isEmpty()) {
            return;
        }
        List<Integer> groups = effects.computeIfAbsent(job.key(), key -> new ArrayList<>());
        synchronized (groups) {
            if (groups.contains(worker.cell)) {
                lab.record.line("%s (group %d) drops the repeat of %s", worker.uid, worker.cell, job.txn());
                return;
            }
            groups.add(worker.cell);
            lab.record.line("%s (group %d) runs %s, key %s", worker.uid, worker.cell, job.txn(), job.key());
        }
    }

    @Override
    public void turnedAway(Worker worker, Worker.Job job) {
        turnedAway.incrementAndGet();
        boolean second;
        synchronized (random) {
            second = lab.trouble && random.nextDouble() < SPOILT_SHARE;
        }
        lab.record.line("%s turns %s away on connection %d%s", worker.uid, job.txn(), job.port(), second ? ", to be said twice" : "");
        if (second) {
            spoilt.incrementAndGet();
            Lab.sleep(SECOND_ANSWER_MS);
            if (job.connection.job != job) {
                return; // the next request is there: its own answer comes next
            }
            worker.turnAway(job);
            lab.record.line("%s has said again that it turns %s away on connection %d", worker.uid, job.txn(), job.port());
        }
    }

    @Override
    public int runMs(Worker worker, Worker.Job job) {
        return job.memory() == 0 ? 90 + Math.floorMod(job.txn().hashCode(), 80) : 500;
    }

    private int run() throws IOException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            // One worker stands in the dispatcher's zone, four in two racks of the other zone.
            entries.add(new Worker("w" + i, (i + 1) / 2, 5, 0, 0, this, i == 0 ? "a" : "b", i == 0 ? 0 : WAY_MS)
                    .entry("in_service"));
        }
        discovery.list(entries);
        Lab.Dispatcher dispatcher = lab.dispatcher("n1", discovery, Settings.of(0, 1,
                Settings.type("upload-register", "keyed", "cell", 120, 2.5, 5000),
                Settings.type("rederive", "safe", "all", 250, 2.5, 6000)));
        lab.start(dispatcher);
        lab.awaitReady(dispatcher);
        Client client = new Client(dispatcher.port);
        Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
        double end = Record.now() + LOAD_MS;
        Random gaps = new Random(11);
        AtomicInteger open = new AtomicInteger();
        int count = 0;
        while (Record.now() < end) {
            int number = count++;
            open.incrementAndGet();
            Lab.daemon(() -> {
                try {
                    String txn = String.format("%016x", 0x7100000000000000L + number);
                    lab.record.line("a client sends %s", txn);
                    Http.Message answer = number % 5 == 0
                            ? client.ask("rederive", "o" + number, txn, null, "memory=3", 6.0)
                            : client.ask("upload-register", "o" + number, txn, "key-" + number, null, 5.0);
                    int status = answer == null ? 0 : answer.status();
                    answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
                    lab.record.line("%s is answered %d", txn, status);
                } finally {
                    open.decrementAndGet();
                }
            });
            Lab.sleep(-Math.log(1 - gaps.nextDouble()) * MEAN_GAP_MS);
        }
        for (int i = 0; i < 60 && open.get() > 0; i++) {
            Lab.sleep(100);
        }
        long twice = effects.entrySet().stream().filter(entry -> entry.getValue().size() > 1).peek(
                entry -> lab.record.line("BROKEN: %s has taken effect in the groups %s", entry.getKey(),
                        entry.getValue()))
                .count();
        lab.record.say("%d tasks, answers %s; %d runs, %d turned away, %d of these answers came twice", count,
                answers, runs.get(), turnedAway.get(), spoilt.get());
        lab.record.say("keyed tasks that took effect in two groups: %d", twice);
        return twice > 0 ? 1 : 0;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new KeyedTwice(lab).run());
    }
}
