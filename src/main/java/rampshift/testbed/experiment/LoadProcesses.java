package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The load processes of a run, numbered from 0. */
final class LoadProcesses {
    private final ChildProcesses children;
    private final RunFolder folder;
    private final List<ChildProcess> processes = new ArrayList<>();
    /** The last progress of each process. Guarded by this, since each output is read on its own thread. */
    private final Map<Integer, LoadProgress> progress = new HashMap<>();

    /**
     * Creates the object without starting any process.
     *
     * @param children starts the load processes, and kills them if this process ends
     * @param folder where the output of the load processes is written
     */
    LoadProcesses(ChildProcesses children, RunFolder folder) {
        this.children = children;
        this.folder = folder;
    }

    /** Starts a load process with the next number. */
    void startNext(List<String> command) throws IOException {
        int number = processes.size();
        ProcessSpec spec = new ProcessSpec("load " + number, command, folder.loadOutput(number));
        processes.add(children.start(spec, line -> handleOutput(number, line)));
    }

    private synchronized void handleOutput(int process, String line) {
        LoadProgress.parse(line).ifPresent(parsed -> progress.put(process, parsed));
    }

    /**
     * Waits until all load processes are ready.
     *
     * @param timeout the timeout for each of them
     * @throws RunFailedException if a process ends, or is not ready within the timeout
     */
    void awaitReady(Span timeout) throws InterruptedException {
        for (ChildProcess process : processes) {
            process.awaitReady(RunProtocol.READY, timeout);
        }
    }

    /** Sends the start time to all load processes. */
    void sendStart(Moment start) throws IOException {
        for (ChildProcess process : processes) {
            process.writeLine(RunProtocol.startLine(start));
        }
    }

    /** Returns whether any load process has not ended. */
    boolean isAnyAlive() {
        return processes.stream().anyMatch(ChildProcess::isAlive);
    }

    /**
     * Checks the exit statuses of the load processes, all of which must have ended.
     *
     * @throws RunFailedException if a load process failed
     */
    void requireSuccess() {
        for (ChildProcess process : processes) {
            if (process.exitStatus() != ExitCode.SUCCESS) {
                throw RunFailedException.of(process, "under load");
            }
        }
    }

    /** Returns one line of readable progress of all load processes together. */
    synchronized String describeProgress(Span sinceStart) {
        return LoadProgress.describe(sinceStart, progress.values());
    }

    /** Kills all load processes. */
    void killAll() {
        processes.forEach(ChildProcess::kill);
    }
}
