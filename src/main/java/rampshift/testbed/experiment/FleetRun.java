package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One run of real processes: the fleet with workers and discovery, then the dispatchers, then the load. While
 * the load runs, dispatchers have the faults of the plan. After it has ended, the run is verified.
 */
final class FleetRun {
    private static final Span READY_TIMEOUT = Span.ofMillis(60_000);
    /** From when the last process is ready to the first task. */
    private static final Span START_DELAY = Span.ofMillis(300);
    private static final Span PROGRESS_INTERVAL = Span.ofMillis(1000);
    private static final long POLL_INTERVAL_MS = 20;
    private static final long STOP_TIMEOUT_MS = 8000;
    private static final String MAX_HEAP = "2g";
    private static final String FINISH_EVENT = "finish";

    private final ChildProcesses children;
    private final RunSpec spec;
    private final FleetPlan plan;
    private final RunFolder folder;
    private final Consumer<String> onProgress;
    private final DispatcherProcesses dispatchers;
    private final LoadProcesses load;

    /** A run that tells nothing of its progress. */
    FleetRun(ChildProcesses children, RunSpec spec) {
        this(children, spec, line -> {});
    }

    /**
     * Prepares a run.
     *
     * @param children starts its processes, and kills them if this process ends
     * @param onProgress receives a line for a person each second
     */
    FleetRun(ChildProcesses children, RunSpec spec, Consumer<String> onProgress) {
        this.children = children;
        this.spec = spec;
        this.onProgress = onProgress;
        plan = spec.plan();
        folder = spec.folder();
        dispatchers = new DispatcherProcesses(children, plan, folder);
        load = new LoadProcesses(children, folder);
    }

    /**
     * Carries out the run. No process of it is left when this returns or throws.
     *
     * @throws RunFailedException if a process ends that should not, or is not ready in time
     * @throws IOException if a process cannot be started, or a file cannot be read or written
     */
    RunOutcome execute() throws IOException, InterruptedException {
        Files.createDirectories(folder.path());
        ChildProcess fleet =
                children.start(new ProcessSpec("fleet", command("fleet"), folder.output("fleet")));
        try (EventLog eventLog = new EventLog(folder.runEventLog())) {
            fleet.awaitReady(RunProtocol.READY, READY_TIMEOUT);
            dispatchers.startAll(DispatcherConfigurations.readListenAddresses(folder));
            Thread.sleep(Math.round(plan.trials().settle().millis()));
            prepareLoad();
            Moment start = EventClock.now().plus(START_DELAY);
            fleet.writeLine(RunProtocol.startLine(start));
            load.sendStart(start);
            superviseLoad(start, eventLog);
            eventLog.append(EventClock.now(), FINISH_EVENT);
            RunCosts costs = dispatchers.readCosts();
            dispatchers.stopAll(STOP_TIMEOUT_MS);
            fleet.closeInput();
            fleet.awaitEnd(STOP_TIMEOUT_MS);
            eventLog.close(); // so that the verification reads all of it
            return RunOutcome.read(plan, folder, costs, start);
        } finally {
            dispatchers.killAll();
            load.killAll();
            fleet.kill();
        }
    }

    private void prepareLoad() throws IOException, InterruptedException {
        for (int process = 0; process < plan.clients().processes(); process++) {
            load.startNext(command("load", "--process", String.valueOf(process)));
        }
        load.awaitReady(READY_TIMEOUT);
    }

    /** The command line of this program as a process of the run. */
    private List<String> command(String name, String... options) {
        List<String> arguments =
                new ArrayList<>(List.of(name, spec.planFile().toAbsolutePath().toString(), "--folder",
                        folder.path().toString(), "--seed", String.valueOf(spec.seed()), "--steered"));
        if (spec.arm() != null) {
            arguments.addAll(List.of("--arm", spec.arm()));
        }
        arguments.addAll(List.of(options));
        return ProcessCommands.ofThisProgram(MAX_HEAP, arguments);
    }

    /** Carries out faults and tells the progress until the load has ended. */
    private void superviseLoad(Moment start, EventLog eventLog) throws IOException, InterruptedException {
        DispatcherFaultRunner faults = new DispatcherFaultRunner(spec, dispatchers, eventLog, start);
        Moment warm = start.plus(plan.clients().warmUp());
        Moment nextProgress = start.plus(PROGRESS_INTERVAL);
        while (load.isAnyAlive()) {
            Thread.sleep(POLL_INTERVAL_MS);
            Moment now = EventClock.now();
            if (!now.before(warm)) {
                dispatchers.startMeasuring();
            }
            faults.update(now);
            dispatchers.requireAlive(faults::isDown);
            if (!now.before(nextProgress)) {
                nextProgress = nextProgress.plus(PROGRESS_INTERVAL);
                onProgress.accept(load.describeProgress(now.since(start)));
            }
        }
        load.requireSuccess();
    }
}
