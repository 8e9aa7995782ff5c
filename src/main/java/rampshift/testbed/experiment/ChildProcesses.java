package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The processes that this one has started, from their start to their end. Whatever way this process ends,
 * short of
 * SIGKILL, none of them is left; those that read commands end by themselves when their input does.
 */
final class ChildProcesses {
    private static final int LAST_LINES = 12;
    private static final long WAIT_MS = 2000;

    private final Set<Child> living = new LinkedHashSet<>();
    private boolean ending;

    /** One process; its last lines are kept for whoever has to say why it died. */
    final class Child {
        final String name;
        final Process process;
        private final ArrayDeque<String> last = new ArrayDeque<>();
        private final Thread reader;

        private Child(String name, Process process, Path log, Consumer<String> told) {
            this.name = name;
            this.process = process;
            reader = new Thread(() -> read(log, told), "output of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Path log, Consumer<String> told) {
            try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream(),
                    StandardCharsets.UTF_8)); var out = Files.newBufferedWriter(log)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    synchronized (last) {
                        last.add(line);
                        if (last.size() > LAST_LINES) {
                            last.poll();
                        }
                    }
                    out.write(line);
                    out.newLine();
                    told.accept(line);
                }
            } catch (IOException e) {
                // It has ended.
            }
        }

        List<String> lastLinesNow() {
            synchronized (last) {
                return new ArrayList<>(last);
            }
        }

        /** Once it has ended: all that it still said. */
        List<String> lastLines() {
            try {
                reader.join(WAIT_MS / 4);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return lastLinesNow();
        }

        /** A line to its standard input. */
        void say(String line) throws IOException {
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            process.getOutputStream().flush();
        }

        void endInput() {
            try {
                process.getOutputStream().close();
            } catch (IOException e) {
                // It has ended already.
            }
        }

        /** CPU time so far. */
        Duration cpu() {
            return process.info().totalCpuDuration().orElse(Duration.ZERO);
        }

        /** Memory in use, in KB; 0 where the system does not tell. */
        long residentKb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Long.parseLong(line.replaceAll("\\D", ""));
                    }
                }
            } catch (IOException e) {
                // Another system, or it has ended.
            }
            return 0;
        }

        /** Sends it a signal by its name; of a process that has ended nothing comes. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        /** Ends it in order, or after a while outright; gone when it returns. */
        void end(long mostMs) {
            endInput();
            process.destroy();
            await(mostMs);
        }

        void kill() {
            process.destroyForcibly();
            await(WAIT_MS);
        }

        private void await(long mostMs) {
            try {
                if (!process.waitFor(mostMs, TimeUnit.MILLISECONDS)) {
                    process.destroyForcibly();
                    process.waitFor(WAIT_MS, TimeUnit.MILLISECONDS);
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
            synchronized (ChildProcesses.this) {
                living.remove(this);
            }
        }
    }

    ChildProcesses() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll, "children"));
    }

    /** Starts one. Its output goes to a file, and line by line to whoever wants it. */
    synchronized Child start(String name, List<String> command, Map<String, String> environment, Path folder,
            Path log, Consumer<String> told) throws IOException {
        if (ending) {
            throw new IOException("the run is ending");
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (folder != null) {
            builder.directory(folder.toFile());
        }
        builder.environment().putAll(environment);
        Child child = new Child(name, builder.start(), log, told);
        living.add(child);
        return child;
    }

    /** None is left when it returns, and none can be started any more. */
    void endAll() {
        List<Child> all;
        synchronized (this) {
            ending = true;
            all = new ArrayList<>(living);
        }
        // Dispatchers answer what they hold when they are asked to stop; here nobody waits for that any more.
        all.forEach(c -> c.process.destroyForcibly());
        all.forEach(Child::kill);
    }
}
