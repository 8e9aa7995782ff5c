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

/** A process that this one has started. Its last lines of output are kept for messages about failures. */
final class ChildProcess {
    /** The signals that suspend and resume a process. */
    enum Signal {
        /** Suspends the process. */
        STOP,
        /** Resumes it. */
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
     * @param onOutput receives each line of its output, on a thread of this process's own
     * @param onEnd is told after this class has ended the process
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
                keep(line);
                file.write(line);
                file.newLine();
                onOutput.accept(line);
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private void keep(String line) {
        synchronized (recentOutput) {
            recentOutput.add(line);
            if (recentOutput.size() > MAX_RECENT_LINES) {
                recentOutput.poll();
            }
        }
    }

    /** Its name in messages. */
    String name() {
        return name;
    }

    /** The id that the system has given it. */
    long pid() {
        return process.pid();
    }

    /** Whether it runs or is suspended. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** Its exit status; throws IllegalThreadStateException while it is alive. */
    int exitStatus() {
        return process.exitValue();
    }

    /** The last lines that it has printed so far. */
    List<String> recentOutput() {
        synchronized (recentOutput) {
            return new ArrayList<>(recentOutput);
        }
    }

    /** The last lines of its output; waits for these for a short time if it is still printing. */
    List<String> finalOutput() {
        try {
            outputReader.join(FINAL_OUTPUT_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return recentOutput();
    }

    /**
     * Waits until it is ready.
     *
     * @param isReady tells whether it is
     * @throws RunFailedException if it ends before that, or is not ready in time
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

    /** As {@link #awaitReady(BooleanSupplier, Span)}, for a process that prints a line once it is ready. */
    void awaitReady(String readyLine, Span timeout) throws InterruptedException {
        awaitReady(() -> recentOutput().contains(readyLine), timeout);
    }

    /** Writes a line to its standard input. */
    void writeLine(String line) throws IOException {
        process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().flush();
    }

    /** Closes its standard input. */
    void closeInput() {
        try {
            process.getOutputStream().close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    /** The CPU time that it has used; zero where the system does not tell. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Its resident memory in KiB; 0 where the system does not tell. */
    long residentKb() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(RESIDENT_MEMORY_FIELD)) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            // Another system, or the process has ended.
        }
        return 0;
    }

    /** Sends it a signal; does nothing if it has ended. */
    void send(Signal signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal.name(), String.valueOf(process.pid())).start().waitFor();
    }

    /** Asks it to end in order, and does not wait for that. */
    void requestStop() {
        process.destroy();
    }

    /** Kills it, and does not wait for its end. */
    void requestKill() {
        process.destroyForcibly();
    }

    /** Asks it to end in order, and kills it if it does not in that time; it has ended when this returns. */
    void stop(long timeoutMs) {
        closeInput();
        requestStop();
        awaitEndOrKill(timeoutMs);
    }

    /** Kills it; it has ended when this returns. */
    void kill() {
        requestKill();
        awaitEndOrKill(KILL_TIMEOUT_MS);
    }

    /** Waits until it has ended, for that time at most. */
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
