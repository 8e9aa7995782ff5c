package rampshift.testbed.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/** The dispatchers of a run as processes, numbered from 0. */
final class DispatcherProcesses {
    private static final Span READY_TIMEOUT = Span.ofMillis(30_000);

    private final ChildProcesses children;
    private final FleetPlan plan;
    private final RunFolder folder;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final Map<Integer, ChildProcess> throttles = new HashMap<>();
    private CostMeter costMeter;

    /**
     * Prepares the processes, and starts none yet.
     *
     * @param children starts them, and kills them if this process ends
     * @param folder with the configurations
     */
    DispatcherProcesses(ChildProcesses children, FleetPlan plan, RunFolder folder) {
        this.children = children;
        this.plan = plan;
        this.folder = folder;
    }

    /** How many dispatchers there are. */
    int count() {
        return processes.size();
    }

    /**
     * Starts all dispatchers of the plan, and waits until they are ready.
     *
     * @param addresses where they listen
     * @throws RunFailedException if one ends, or is not ready in time
     */
    void startAll(List<InetSocketAddress> addresses) throws IOException, InterruptedException {
        for (int dispatcher = 0; dispatcher < plan.dispatcherCount(); dispatcher++) {
            processes.add(start(dispatcher));
        }
        for (int dispatcher = 0; dispatcher < count(); dispatcher++) {
            InetSocketAddress address = addresses.get(dispatcher);
            processes.get(dispatcher).awaitReady(() -> ReadinessProbe.isReady(address), READY_TIMEOUT);
        }
        costMeter = new CostMeter(processes);
    }

    private ChildProcess start(int dispatcher) throws IOException {
        List<String> command = ProcessCommands.ofDispatcher(plan.dispatchers(), folder.path());
        if (plan.members().enabled()) {
            command.addAll(List.of("--operator", folder.operatorFile(dispatcher).toString()));
        }
        String name = RunFolder.dispatcherName(dispatcher);
        Map<String, String> environment =
                Map.of("NODE_CONFIG", folder.configuration(dispatcher).toString());
        return children.start(new ProcessSpec(name, command, environment,
                ProcessCommands.dispatcherDirectory(plan.dispatchers()), folder.uniqueOutput(name)));
    }

    /** Begins to measure what they use; later calls do nothing. */
    void startMeasuring() {
        costMeter.start();
    }

    /** What they have used since {@link #startMeasuring}. */
    RunCosts readCosts() {
        return costMeter.read();
    }

    /**
     * Checks that all dispatchers run.
     *
     * @param isDown whether the dispatcher with that number is expected not to run
     * @throws RunFailedException if one has ended that was expected to run
     */
    void requireAlive(IntPredicate isDown) {
        for (int dispatcher = 0; dispatcher < count(); dispatcher++) {
            ChildProcess process = processes.get(dispatcher);
            if (!process.isAlive() && !isDown.test(dispatcher)) {
                throw RunFailedException.of(process, "under load");
            }
        }
    }

    /** Whether a dispatcher's process has not ended. */
    boolean isAlive(int dispatcher) {
        return processes.get(dispatcher).isAlive();
    }

    /** Kills a dispatcher that is alive. */
    void kill(int dispatcher) {
        costMeter.addKilled(dispatcher);
        processes.get(dispatcher).kill();
    }

    /** Asks a dispatcher to end in order, and does not wait for that. */
    void requestStop(int dispatcher) {
        processes.get(dispatcher).requestStop();
    }

    /** Suspends or resumes a dispatcher. */
    void send(int dispatcher, ChildProcess.Signal signal) throws IOException, InterruptedException {
        processes.get(dispatcher).send(signal);
    }

    /** Replaces a dispatcher by a new process; kills the present one if it has not ended. */
    void restart(int dispatcher) throws IOException {
        processes.get(dispatcher).kill();
        processes.set(dispatcher, start(dispatcher));
    }

    /** Throttles a dispatcher to a share of a core, 0 to 1. */
    void throttle(int dispatcher, double share) throws IOException {
        List<String> command = CpuThrottle.command(share, processes.get(dispatcher).pid());
        throttles.put(dispatcher,
                children.start(new ProcessSpec("starver of " + RunFolder.dispatcherName(dispatcher), command,
                        folder.uniqueOutput("starver"))));
    }

    /**
     * Ends the throttling of a dispatcher, which may be suspended after that.
     *
     * @return whether it was throttled
     */
    boolean unthrottle(int dispatcher) {
        ChildProcess throttle = throttles.remove(dispatcher);
        if (throttle == null) {
            return false;
        }
        throttle.kill();
        return true;
    }

    /** Asks one after the other to end in order; kills each that does not in that time. */
    void stopAll(long timeoutMs) {
        for (ChildProcess process : processes) {
            process.stop(timeoutMs);
        }
    }

    /** Kills all of them, and what throttles them. */
    void killAll() {
        throttles.values().forEach(ChildProcess::kill);
        processes.forEach(ChildProcess::kill);
    }
}
