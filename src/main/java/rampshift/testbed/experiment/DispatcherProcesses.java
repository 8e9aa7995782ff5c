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

/** The dispatcher processes of a run, numbered from 0. */
final class DispatcherProcesses {
    private static final Span READY_TIMEOUT = Span.ofMillis(30_000);

    private final ChildProcesses children;
    private final FleetPlan plan;
    private final RunFolder folder;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final Map<Integer, ChildProcess> throttles = new HashMap<>();
    private CostMeter costMeter;

    /**
     * Creates the object without starting any process.
     *
     * @param children starts the dispatchers, and kills them if this process ends
     * @param folder contains the dispatchers' configurations
     */
    DispatcherProcesses(ChildProcesses children, FleetPlan plan, RunFolder folder) {
        this.children = children;
        this.plan = plan;
        this.folder = folder;
    }

    /** Returns the number of dispatchers. */
    int count() {
        return processes.size();
    }

    /**
     * Starts all dispatchers of the plan, and waits until they are ready.
     *
     * @param addresses where the dispatchers listen, by number
     * @throws RunFailedException if a dispatcher ends, or is not ready in time
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

    /** Begins to measure the CPU time of the dispatchers; later calls do nothing. */
    void startMeasuring() {
        costMeter.start();
    }

    /** Returns the resources that the dispatchers have used since {@link #startMeasuring}. */
    RunCosts readCosts() {
        return costMeter.read();
    }

    /**
     * Checks that no dispatcher has ended unexpectedly.
     *
     * @param isDown returns whether the dispatcher with a given number is expected to be down
     * @throws RunFailedException if a dispatcher has ended that is not expected to be down
     */
    void requireAlive(IntPredicate isDown) {
        for (int dispatcher = 0; dispatcher < count(); dispatcher++) {
            ChildProcess process = processes.get(dispatcher);
            if (!process.isAlive() && !isDown.test(dispatcher)) {
                throw RunFailedException.of(process, "under load");
            }
        }
    }

    /** Returns whether the process of a dispatcher has not ended; it may be suspended. */
    boolean isAlive(int dispatcher) {
        return processes.get(dispatcher).isAlive();
    }

    /** Kills a dispatcher that is alive, and records its CPU time. */
    void kill(int dispatcher) {
        costMeter.addKilled(dispatcher);
        processes.get(dispatcher).kill();
    }

    /** Asks a dispatcher to shut down gracefully, without waiting for its end. */
    void requestStop(int dispatcher) {
        processes.get(dispatcher).requestStop();
    }

    /** Suspends or resumes a dispatcher. */
    void send(int dispatcher, ChildProcess.Signal signal) throws IOException, InterruptedException {
        processes.get(dispatcher).send(signal);
    }

    /** Replaces the process of a dispatcher by a new one; kills the old process if it has not ended. */
    void restart(int dispatcher) throws IOException {
        processes.get(dispatcher).kill();
        processes.set(dispatcher, start(dispatcher));
    }

    /** Limits the CPU time of a dispatcher to a share of a core, 0 to 1. */
    void throttle(int dispatcher, double share) throws IOException {
        List<String> command = CpuThrottle.command(share, processes.get(dispatcher).pid());
        throttles.put(dispatcher,
                children.start(new ProcessSpec("starver of " + RunFolder.dispatcherName(dispatcher), command,
                        folder.uniqueOutput("starver"))));
    }

    /**
     * Ends the throttling of a dispatcher. The dispatcher may be left suspended by this.
     *
     * @return whether the dispatcher was throttled
     */
    boolean unthrottle(int dispatcher) {
        ChildProcess throttle = throttles.remove(dispatcher);
        if (throttle == null) {
            return false;
        }
        throttle.kill();
        return true;
    }

    /** Shuts down the dispatchers one by one, and kills each that does not end within the timeout. */
    void stopAll(long timeoutMs) {
        for (ChildProcess process : processes) {
            process.stop(timeoutMs);
        }
    }

    /** Kills all dispatchers and the processes that throttle them. */
    void killAll() {
        throttles.values().forEach(ChildProcess::kill);
        processes.forEach(ChildProcess::kill);
    }
}
