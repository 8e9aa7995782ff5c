package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns the processes that this one starts. When this process ends in any way but SIGKILL, it kills all of
 * them. Those that read their standard input end by themselves once it is closed.
 */
final class ChildProcesses {
    private final Set<ChildProcess> running = new LinkedHashSet<>();
    private boolean shutDown;

    /** Registers the shutdown hook that kills what still runs. */
    ChildProcesses() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "children"));
    }

    /** Starts a process whose output only goes to its file; see {@link #start(ProcessSpec, Consumer)}. */
    ChildProcess start(ProcessSpec spec) throws IOException {
        return start(spec, line -> {});
    }

    /**
     * Starts a process.
     *
     * @param onOutput receives each line of its output, on another thread
     * @throws IOException if the program cannot be started, or if {@link #killAll} was called before
     */
    synchronized ChildProcess start(ProcessSpec spec, Consumer<String> onOutput) throws IOException {
        if (shutDown) {
            throw new IOException("the run is ending");
        }
        ChildProcess child = new ChildProcess(spec, onOutput, this::remove);
        running.add(child);
        return child;
    }

    private synchronized void remove(ChildProcess child) {
        running.remove(child);
    }

    /** Kills all processes; none runs when this returns, and none can be started after it. */
    void killAll() {
        List<ChildProcess> children;
        synchronized (this) {
            shutDown = true;
            children = new ArrayList<>(running);
        }
        // Dispatchers that are asked to stop first answer their tasks; nobody waits for the answers now.
        children.forEach(ChildProcess::requestKill);
        children.forEach(ChildProcess::kill);
    }
}
