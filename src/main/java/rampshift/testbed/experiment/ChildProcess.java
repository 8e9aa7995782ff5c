package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A process started by this one. The last lines of its output are kept for error messages. */
final class ChildProcess {
    /** The signals that suspend and resume a process. */
    enum Signal {
        /** Suspends the process. */
        STOP,
        /** Resumes the process. */
        CONT
    }

    private static final int MAX_RECENT_LINES = 12;
    private static final long KILL_TIMEOUT_MS = 2000;
    private static final long FINAL_OUTPUT_TIMEOUT_MS = 500;
    private static final long POLL_INTERVAL_MS = 20;
    private static final String RESIDENT_MEMORY_FIELD = "VmRSS:";

    private final String name;
    private final Process process;
    private final Consumer<ChildProcess> onEnd;
    private final ArrayDeque<String> recentOutput = new ArrayDeque<>();
    private final Thread outputReader;

    /**
     * Starts a process.
     *
     * @param onOutput receives each line of the process's output, on a thread that reads only this output
     * @param onEnd is called after {@link #stop} or {@link #kill}
     * @throws IOException if the program cannot be started
     */
    ChildProcess(ProcessSpec spec, Consumer<String> onOutput, Consumer<ChildProcess> onEnd)
            throws IOException {
        name = spec.name();
        this.onEnd = onEnd;
        ProcessBuilder builder = new ProcessBuilder(spec.command()).redirectErrorStream(true);
        if (spec.directory() != null) {
            builder.directory(spec.directory().toFile());
        }
        builder.environment().putAll(spec.environment());
        process = builder.start();
        outputReader = new Thread(() -> readOutput(spec.outputFile(), onOutput), "output of " + name);
        outputReader.setDaemon(true);
        outputReader.start();
    }

    private void readOutput(Path outputFile, Consumer<String> onOutput) {
        try (BufferedReader output = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                BufferedWriter file = Files.newBufferedWriter(outputFile)) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                addRecentLine(line);
                file.write(line);
                file.newLine();
                onOutput.accept(line);
            }
        } catch (IOException e) {
            // Reading fails when the process is killed. A failure to write the file is ignored as well.
        }
    }

    private void addRecentLine(String line) {
        synchronized (recentOutput) {
            recentOutput.add(line);
            if (recentOutput.size() > MAX_RECENT_LINES) {
                recentOutput.poll();
            }
        }
    }

    /** Returns the name of the process in messages. */
    String name() {
        return name;
    }

    /** Returns the process id. */
    long pid() {
        return process.pid();
    }

    /** Returns whether the process has not ended; it may be suspended. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the exit status; throws IllegalThreadStateException while the process is alive. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Returns the last lines that the process has printed so far. */
    List<String> recentOutput() {
        synchronized (recentOutput) {
            return new ArrayList<>(recentOutput);
        }
    }

    /** Returns the last lines of the output, after waiting a short time for the output to end. */
    List<String> finalOutput() {
        try {
            outputReader.join(FINAL_OUTPUT_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return recentOutput();
    }

    /**
     * Waits until the process is ready.
     *
     * @param isReady returns whether the process is ready
     * @throws RunFailedException if the process ends before it is ready, or is not ready within the timeout
     */
    void awaitReady(BooleanSupplier isReady, Span timeout) throws InterruptedException {
        Moment deadline = EventClock.now().plus(timeout);
        while (!isReady.getAsBoolean()) {
            if (!isAlive() || deadline.before(EventClock.now())) {
                throw RunFailedException.of(this, "before it was ready");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Waits until the process has printed the ready line; see {@link #awaitReady(BooleanSupplier, Span)}. */
    void awaitReady(String readyLine, Span timeout) throws InterruptedException {
        awaitReady(() -> recentOutput().contains(readyLine), timeout);
    }

    /** Writes a line to the standard input of the process. */
    void writeLine(String line) throws IOException {
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
    }

    /** Closes the standard input of the process. */
    void closeInput() {
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // The process has ended already.
        }
    }

    /** Returns the CPU time that the process has used; zero where the system does not report it. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the resident memory in KiB; 0 where the system does not report it. */
    long residentKb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(RESIDENT_MEMORY_FIELD)) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            // The system has no /proc, or the process has ended.
        }
        return 0;
    }

    /** Sends a signal to the process; does nothing if it has ended. */
    void send(Signal signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal.name(), String.valueOf(process.pid())).start().waitFor();
    }

    /** Asks the process to shut down gracefully, without waiting for its end. */
    void requestStop() {
        process.destroy();
    }

    /** Kills the process without waiting for its end. */
    void requestKill() {
        process.destroyForcibly();
    }

    /** Shuts down the process gracefully; kills it and waits for its end if the timeout expires. */
    void stop(long timeoutMs) {
        closeInput();
        requestStop();
        awaitEndOrKill(timeoutMs);
    }

    /** Kills the process and waits for its end. */
    void kill() {
        requestKill();
        awaitEndOrKill(KILL_TIMEOUT_MS);
    }

    /** Waits until the process has ended or the timeout has expired. */
    void awaitEnd(long timeoutMs) throws InterruptedException {
        process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void awaitEndOrKill(long timeoutMs) {
        try {
            if (!process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) {
                requestKill();
                awaitEnd(KILL_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            requestKill();
            Thread.currentThread().interrupt();
        }
        onEnd.accept(this);
    }
}
