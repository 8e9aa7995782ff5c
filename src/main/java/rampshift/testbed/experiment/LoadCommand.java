package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.clients.LoadGenerator;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The command {@code load}, whose clients send tasks to dispatchers for the length of the plan. */
final class LoadCommand {
    private static final Span IDLE_CONNECTIONS_TIMEOUT = Span.ofMillis(20_000);
    private static final long PROGRESS_INTERVAL_MS = 500;

    private final FleetPlan plan;
    private final long seed;
    private final int process;
    private final RunFolder folder;
    private final PrintStream out;

    /**
     * Creates the command.
     *
     * @param seed the seed of all random streams
     * @param process the number of this load process, from 0
     * @param folder where the results are written
     */
    LoadCommand(FleetPlan plan, long seed, int process, RunFolder folder, PrintStream out) {
        this.plan = plan;
        this.seed = seed;
        this.process = process;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Starts the load immediately, and prints a summary after it has ended.
     *
     * @param dispatchers where the dispatchers listen
     * @return an {@link ExitCode}
     */
    int run(List<InetSocketAddress> dispatchers) throws IOException {
        int exitCode = generateLoad(dispatchers, false);
        if (exitCode != ExitCode.SUCCESS) {
            return exitCode;
        }
        RunOutcome outcome = RunOutcome.read(plan, folder, RunCosts.NOT_MEASURED, EventClock.now());
        SummaryTable.print(outcome, out);
        return outcome.isVoid() ? ExitCode.VOID : ExitCode.SUCCESS;
    }

    /**
     * Starts the load at the time sent by a {@link FleetRun}, and ends the process if the run ends first.
     *
     * @param dispatchers where the dispatchers listen
     * @return an {@link ExitCode}; failure if the load was not started
     */
    int runControlled(List<InetSocketAddress> dispatchers) throws IOException {
        return generateLoad(dispatchers, true);
    }

    private int generateLoad(List<InetSocketAddress> dispatchers, boolean controlled) throws IOException {
        try (EventLog eventLog = new EventLog(folder.loadEventLog(process))) {
            LoadGenerator load = new LoadGenerator(plan, seed, process, dispatchers, eventLog);
            load.openIdle(IDLE_CONNECTIONS_TIMEOUT);
            Optional<Moment> start = controlled ? awaitStart() : Optional.of(EventClock.now());
            if (start.isEmpty()) {
                return ExitCode.FAILURE;
            }
            load.start(start.get());
            startDaemon("progress", () -> printProgress(load));
            load.await();
            out.println(load.progress());
            load.write(folder.path());
            load.close();
            return ExitCode.SUCCESS;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        }
    }

    /** Returns the start time; empty if the controlling process has ended without sending it. */
    private Optional<Moment> awaitStart() throws IOException {
        out.println(RunProtocol.READY);
        BufferedReader input = RunProtocol.openInput();
        Optional<Moment> start = RunProtocol.parseStart(input.readLine());
        if (start.isPresent()) {
            startDaemon("input", () -> haltAtEndOf(input));
        }
        return start;
    }

    /** Ends this process once the controlling process has closed the input, since the run has ended then. */
    private static void haltAtEndOf(BufferedReader input) {
        try {
            String line = input.readLine();
            while (line != null) {
                line = input.readLine();
            }
        } catch (IOException e) {
            // Handled like the end of the input.
        }
        Runtime.getRuntime().halt(ExitCode.FAILURE);
    }

    private void printProgress(LoadGenerator load) {
        try {
            while (true) {
                Thread.sleep(PROGRESS_INTERVAL_MS);
                out.println(load.progress());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void startDaemon(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }
}
