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
 * A run of real processes. It starts the fleet (workers and discovery), then the dispatchers, then the load
 * processes. While the load runs, it injects the plan's faults into the dispatchers. After the load has
 * ended, it verifies the run.
 */
final class FleetRun {
    private static final Span READY_TIMEOUT = Span.ofMillis(60_000);
    /** The time between the readiness of the last process and the first task. */
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

    /** Prepares a run that does not report its progress. */
    FleetRun(ChildProcesses children, RunSpec spec) {
        this(children, spec, line -> {});
    }

    /**
     * Prepares a run.
     *
     * @param children starts the run's processes, and kills them if this process ends
     * @param onProgress receives one line of readable progress each second
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
     * Carries out the run. All of its processes have ended when this method returns or throws.
     *
     * @throws RunFailedException if a process ends unexpectedly, or is not ready in time
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
            eventLog.close(); // flushes the events that the verification reads
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

    /** Returns the command line that runs a command of this program as a process of the run. */
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

    /** Injects faults and reports the progress until the load has ended. */
    private void superviseLoad(Moment start, EventLog eventLog) throws IOException, InterruptedException {
        DispatcherFaultRunner faults = new DispatcherFaultRunner(spec, dispatchers, eventLog, start);
        Moment measurementStart = start.plus(plan.clients().warmUp());
        Moment nextProgress = start.plus(PROGRESS_INTERVAL);
        while (load.isAnyAlive()) {
            Thread.sleep(POLL_INTERVAL_MS);
            Moment now = EventClock.now();
            if (!now.before(measurementStart)) {
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
