package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns the processes that this process starts. A shutdown hook kills all of them when this process ends. It
 * does not run after SIGKILL; then only processes that read their standard input end, once it is closed.
 */
final class ChildProcesses {
    private final Set<ChildProcess> running = new LinkedHashSet<>();
    private boolean shutDown;

    /** Registers a shutdown hook that kills all running processes. */
    ChildProcesses() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "children"));
    }

    /** Starts a process whose output is only written to a file; see {@link #start(ProcessSpec, Consumer)}. */
    ChildProcess start(ProcessSpec spec) throws IOException {
        return start(spec, line -> {});
    }

    /**
     * Starts a process.
     *
     * @param onOutput receives each line of the process's output, on another thread
     * @throws IOException if the program cannot be started, or if {@link #killAll} was called before
     */
    synchronized ChildProcess start(ProcessSpec spec, Consumer<String> onOutput) throws IOException {
        if (shutDown) {
            throw new IOException("cannot start a process during shutdown");
        }
        ChildProcess child = new ChildProcess(spec, onOutput, this::remove);
        running.add(child);
        return child;
    }

    private synchronized void remove(ChildProcess child) {
        running.remove(child);
    }

    /** Kills all processes and waits for their end. No process can be started afterwards. */
    void killAll() {
        List<ChildProcess> children;
        synchronized (this) {
            shutDown = true;
            children = new ArrayList<>(running);
        }
        // Kills instead of a graceful shutdown, since no client needs the responses to unfinished tasks.
        children.forEach(ChildProcess::requestKill);
        children.forEach(ChildProcess::kill);
    }
}
