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
    /** The last progress of each process. Guarded by this, since other threads read the output. */
    private final Map<Integer, LoadProgress> progress = new HashMap<>();

    /**
     * Prepares the processes, and starts none yet.
     *
     * @param children starts them, and kills them if this process ends
     * @param folder where their output goes
     */
    LoadProcesses(ChildProcesses children, RunFolder folder) {
        this.children = children;
        this.folder = folder;
    }

    /** Starts the next process. */
    void startNext(List<String> command) throws IOException {
        int number = processes.size();
        ProcessSpec spec = new ProcessSpec("load " + number, command, folder.loadOutput(number));
        processes.add(children.start(spec, line -> handleOutput(number, line)));
    }

    private synchronized void handleOutput(int process, String line) {
        LoadProgress.parse(line).ifPresent(parsed -> progress.put(process, parsed));
    }

    /**
     * Waits until all are ready.
     *
     * @param timeout for each of them
     * @throws RunFailedException if one ends, or is not ready in time
     */
    void awaitReady(Span timeout) throws InterruptedException {
        for (ChildProcess process : processes) {
            process.awaitReady(RunProtocol.READY, timeout);
        }
    }

    /** Tells all of them when to start. */
    void sendStart(Moment start) throws IOException {
        for (ChildProcess process : processes) {
            process.writeLine(RunProtocol.startLine(start));
        }
    }

    /** Whether any of them still runs. */
    boolean isAnyAlive() {
        return processes.stream().anyMatch(ChildProcess::isAlive);
    }

    /**
     * Checks how they have ended.
     *
     * @throws RunFailedException if one of them failed
     */
    void requireSuccess() {
        for (ChildProcess process : processes) {
            if (process.exitStatus() != ExitCode.SUCCESS) {
                throw RunFailedException.of(process, "under way");
            }
        }
    }

    /** One line for a person about how far they are. */
    synchronized String describeProgress(Span sinceStart) {
        return LoadProgress.describe(sinceStart, progress.values());
    }

    /** Kills all of them. */
    void killAll() {
        processes.forEach(ChildProcess::kill);
    }
}
