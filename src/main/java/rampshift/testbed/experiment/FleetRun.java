package rampshift.testbed.experiment;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.faults.FaultTargets;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One run: real processes, started in order, troubled as planned, judged when they have ended. */
final class FleetRun {
    private static final Span READY = Span.ofMillis(30_000);
    // from the last process ready to the first task
    private static final Span LEAD = Span.ofMillis(300);
    private static final long STOP_MS = 8000;
    private static final long LOOK_MS = 20;
    // seconds; in part of each a starved dispatcher runs
    private static final double SLICE = 0.1;
    /**
     * $0: its process. Nanoseconds of a core that it is to have a slice, seconds that it stands still, and
     * seconds that it runs.
     */
    @SuppressWarnings("InlineFormatString") // a script is no line to stand within a call
    private static final String STARVER = """
            had() {
                sum=0
                for task in /proc/$0/task/*; do
                    ran=0
                    read -r ran rest 2>/dev/null < "$task/schedstat"
                    sum=$((sum + ran))
                done
            }
            wants() {
                for task in /proc/$0/task/*; do
                    line=
                    read -r line 2>/dev/null < "$task/stat"
                    case "$line" in *") R "*) return 0 ;; esac
                done
                return 1
            }
            while had && due=$((sum + %d)) && kill -STOP $0 2>/dev/null; do
                sleep %.3f
                kill -CONT $0
                sleep %.3f
                more=0
                while had && [ $sum -lt $due ] && wants && [ $more -lt 1000 ]; do
                    sleep 0.001
                    more=$((more + 1))
                done
            done
            """;

    private final ChildProcesses children;
    private final FleetPlan plan;
    private final Path file;
    private final String arm;
    private final long seed;
    private final Path folder;
    private final Consumer<String> progress;
    private final List<ChildProcesses.Child> dispatchers = new ArrayList<>();
    private final List<ChildProcesses.Child> loads = new ArrayList<>();
    private final Map<Integer, String> said = new HashMap<>();
    private final Map<Integer, ChildProcesses.Child> starving = new HashMap<>();
    private final List<Duration> cpuBefore = new ArrayList<>();
    private final List<Duration> cpuOfDead = new ArrayList<>();
    private HostMetrics hostBefore;

    /** Progress: a line now and then, for a person. The arm is null for the file as it stands. */
    FleetRun(ChildProcesses children, FleetPlan plan, Path file, String arm, long seed, Path folder,
            Consumer<String> progress) {
        this.children = children;
        this.plan = plan;
        this.file = file;
        this.arm = arm;
        this.seed = seed;
        this.folder = folder;
        this.progress = progress;
    }

    /** Plays it all. Throws a Fault where a process dies that should not, with its last lines. */
    RunOutcome play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        ChildProcesses.Child fleet = children.start("fleet", self("fleet", List.of()), Map.of(), null,
                folder.resolve("fleet.log"), this::nothing);
        try (EventLog ledger = new EventLog(folder.resolve("trial.ledger"))) {
            awaitLine(fleet, "ready");
            List<InetSocketAddress> listens = Configurations.listens(folder);
            for (int d = 0; d < plan.dispatcherCount(); d++) {
                dispatchers.add(startDispatcher(d));
            }
            for (int d = 0; d < dispatchers.size(); d++) {
                awaitReady(d, listens.get(d));
            }
            Thread.sleep(Math.round(plan.trials().settle().millis()));
            for (int p = 0; p < plan.clients().processes(); p++) {
                int number = p;
                loads.add(children.start("load " + p, self("load", List.of("--process", String.valueOf(p))),
                        Map.of(),
                        null, folder.resolve("load-" + p + ".log"), line -> told(number, line)));
            }
            for (ChildProcesses.Child load : loads) {
                awaitLine(load, "ready");
            }
            dispatchers.forEach(d -> cpuOfDead.add(Duration.ZERO));
            Moment zero = EventClock.now().plus(LEAD);
            fleet.say("go " + zero.micros());
            for (ChildProcesses.Child load : loads) {
                load.say("go " + zero.micros());
            }
            watch(zero, ledger);
            ledger.append(EventClock.now(), "finish");
            RunOutcome.Costs costs = costs();
            for (ChildProcesses.Child d : dispatchers) {
                d.end(STOP_MS);
            }
            fleet.endInput();
            fleet.process.waitFor(STOP_MS, TimeUnit.MILLISECONDS);
            ledger.close();         // the judge reads it
            return RunOutcome.read(plan, folder, costs, zero);
        } finally {
            starving.values().forEach(ChildProcesses.Child::kill);
            dispatchers.forEach(ChildProcesses.Child::kill);
            loads.forEach(ChildProcesses.Child::kill);
            fleet.kill();
        }
    }

    private void nothing(String line) {
        // It stands in the log.
    }

    private List<String> self(String command, List<String> more) {
        List<String> arguments =
                new ArrayList<>(List.of(command, file.toAbsolutePath().toString(), "--folder",
                        folder.toString(), "--seed", String.valueOf(seed), "--steered"));
        if (arm != null) {
            arguments.addAll(List.of("--arm", arm));
        }
        arguments.addAll(more);
        return ProcessLauncher.self("2g", arguments);
    }

    private ChildProcesses.Child startDispatcher(int d) throws IOException {
        List<String> command = ProcessLauncher.dispatcher(plan.dispatchers(), folder);
        if (plan.members().enabled()) {
            command.addAll(List.of("--operator", Configurations.operatorFile(folder, d).toString()));
        }
        return children.start(Configurations.name(d), command,
                Map.of("NODE_CONFIG", Configurations.file(folder, d).toString()),
                ProcessLauncher.homeOf(plan.dispatchers()),
                folder.resolve(Configurations.name(d) + "-" + System.nanoTime() + ".log"), this::nothing);
    }

    private void awaitLine(ChildProcesses.Child child, String line) throws InterruptedException {
        Moment end = EventClock.now().plus(READY).plus(READY);
        while (!child.lastLinesNow().contains(line)) {
            if (!child.process.isAlive() || end.before(EventClock.now())) {
                throw died(child, "before it was ready");
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private static RunFailedException died(ChildProcesses.Child child, String when) {
        List<String> lines = new ArrayList<>();
        boolean alive = child.process.isAlive();
        lines.add(child.name + (alive ? " was not ready in time"
                : " ended " + when + ", status "
                        + child.process.exitValue())
                + "; its last lines:");
        child.lastLines().forEach(l -> lines.add("  " + l));
        return new RunFailedException(lines);
    }

    private void awaitReady(int d, InetSocketAddress listen) throws InterruptedException {
        Moment end = EventClock.now().plus(READY);
        while (!ready(listen)) {
            if (!dispatchers.get(d).process.isAlive() || end.before(EventClock.now())) {
                throw died(dispatchers.get(d), "before it was ready");
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private static boolean ready(InetSocketAddress listen) {
        try {
            HttpURLConnection c =
                    (HttpURLConnection) new URL("http", listen.getHostString(), listen.getPort(),
                            "/ready").openConnection(Proxy.NO_PROXY);
            c.setConnectTimeout(1000);
            c.setReadTimeout(1000);
            c.setRequestProperty("Connection", "close");
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private synchronized void told(int process, String line) {
        if (line.startsWith("progress ")) {
            said.put(process, line);
        }
    }

    /** Until the clients are done: kills dispatchers as planned, tells how it goes, sees who dies. */
    private void watch(Moment zero, EventLog ledger)
            throws IOException, InterruptedException {
        List<FleetPlan.Trouble> coming =
                new ArrayList<>(plan.troubles().stream().filter(FleetPlan.Trouble::ofDispatchers).toList());
        Map<Integer, Moment> back = new HashMap<>();
        Map<Integer, Moment> goesOn = new HashMap<>();
        Moment nextWord = zero.plus(Span.ofMillis(1000));
        Moment warm = zero.plus(plan.clients().warmUp());
        while (loads.stream().anyMatch(l -> l.process.isAlive())) {
            Thread.sleep(LOOK_MS);
            Moment now = EventClock.now();
            if (cpuBefore.isEmpty() && !now.before(warm)) {
                dispatchers.forEach(d -> cpuBefore.add(d.cpu()));
                hostBefore = HostMetrics.now();
            }
            for (FleetPlan.Trouble trouble : List.copyOf(coming)) {
                if (now.before(zero.plus(trouble.at()))) {
                    continue;
                }
                coming.remove(trouble);
                for (int d : drawn(trouble)) {
                    if (back.containsKey(d)) {
                        continue;       // an earlier trouble has it down already
                    }
                    if (trouble.what() == FleetPlan.Trouble.Kind.DISPATCHER_KILLED) {
                        goesOn.remove(d);
                        fed(d, ledger);
                        kill(d, ledger);
                        back.put(d, now.plus(trouble.length()));
                    } else if (trouble.what() == FleetPlan.Trouble.Kind.DISPATCHER_ENDED) {
                        ledger.append(now, "ended", d);
                        dispatchers.get(d).process.destroy();
                        back.put(d, now.plus(trouble.length()));
                    } else if (trouble.what() == FleetPlan.Trouble.Kind.DISPATCHER_STARVED) {
                        ledger.append(now, "starved", d);
                        starving.put(d, starve(d, trouble.rate()));
                        goesOn.put(d, now.plus(trouble.length()));
                    } else {
                        ledger.append(now, "stopped", d);
                        dispatchers.get(d).signal("STOP");
                        goesOn.put(d, now.plus(trouble.length()));
                    }
                }
            }
            for (int d : List.copyOf(goesOn.keySet())) {
                if (!now.before(goesOn.get(d))) {
                    goesOn.remove(d);
                    if (!fed(d, ledger)) {
                        ledger.append(now, "continued", d);
                    }
                    dispatchers.get(d).signal("CONT");
                }
            }
            for (int d : List.copyOf(back.keySet())) {
                if (!now.before(back.get(d))) {
                    back.remove(d);
                    dispatchers.get(d).kill();      // one that ends in order may still be at it
                    dispatchers.set(d, startDispatcher(d));
                    ledger.append(now, "started", d);
                }
            }
            for (int d = 0; d < dispatchers.size(); d++) {
                if (!dispatchers.get(d).process.isAlive() && !back.containsKey(d)) {
                    throw died(dispatchers.get(d), "under load");
                }
            }
            if (!now.before(nextWord)) {
                nextWord = nextWord.plus(Span.ofMillis(1000));
                progress.accept(word(now.since(zero)));
            }
        }
        for (ChildProcesses.Child load : loads) {
            if (load.process.exitValue() != 0) {
                throw died(load, "under way");
            }
        }
    }

    /**
     * Lets it run for that share of each slice, by signals from a process beside it, until that one is ended.
     * On a full machine a
     * slice's share of time is less than its share of a core: one that still wants to run goes on until it
     * has had that, or until
     * as long as ten slices have passed.
     */
    private ChildProcesses.Child starve(int d, double share) throws IOException {
        String loop = String.format(java.util.Locale.ROOT, STARVER, (long) (SLICE * share * 1e9),
                SLICE * (1 - share), SLICE * share);
        return children.start("starver of " + Configurations.name(d), List.of("sh", "-c", loop,
                String.valueOf(dispatchers.get(d).process.pid())), Map.of(), null,
                folder.resolve("starver-" + System.nanoTime() + ".log"), this::nothing);
    }

    private boolean fed(int d, EventLog ledger) {
        ChildProcesses.Child held = starving.remove(d);
        if (held != null) {
            held.kill();
            ledger.append(EventClock.now(), "fed", d);
        }
        return held != null;
    }

    private List<Integer> drawn(FleetPlan.Trouble kill) {
        List<String> names = new ArrayList<>();
        for (int d = 0; d < dispatchers.size(); d++) {
            names.add(Configurations.name(d));
        }
        return FaultTargets.of(kill, names, RandomStreams.of(seed, "kill " + kill.at())).stream()
                .map(n -> Integer.parseInt(n.substring(1)) - 1).toList();
    }

    private void kill(int d, EventLog ledger) {
        ChildProcesses.Child child = dispatchers.get(d);
        if (child.process.isAlive()) {
            // What it used while it warmed up is taken off once, from the one that is there at the end.
            cpuOfDead.set(d, cpuOfDead.get(d).plus(child.cpu()));
            ledger.append(EventClock.now(), "killed", d);
            child.kill();
        }
    }

    private synchronized String word(Span at) {
        double[] sums = new double[6];
        for (String line : said.values()) {
            String[] figures = line.split(" ");
            for (int i = 0; i < sums.length; i++) {
                sums[i] += Double.parseDouble(figures[i + 1]);
            }
        }
        int all = Math.max(1, said.size());
        return String.format(java.util.Locale.ROOT,
                "%5.1f s  sent %6.0f  finished %6.0f  bounced %5.0f  others %4.0f  earnings served %5.1f%%",
                at.millis() / 1000, sums[0], sums[1], sums[2], sums[3], 100 * sums[4] / all);
    }

    private RunOutcome.Costs costs() {
        List<Double> cpu = new ArrayList<>();
        List<Long> memory = new ArrayList<>();
        for (int d = 0; d < dispatchers.size(); d++) {
            Duration used = dispatchers.get(d).cpu().plus(cpuOfDead.get(d))
                    .minus(cpuBefore.isEmpty() ? Duration.ZERO : cpuBefore.get(d));
            cpu.add(used.toNanos() / 1e9);
            memory.add(dispatchers.get(d).residentKb());
        }
        return new RunOutcome.Costs(cpu, memory,
                hostBefore == null ? 0 : HostMetrics.now().stolenSince(hostBefore));
    }
}
