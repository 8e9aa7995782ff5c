package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.stream.Stream;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/** The command {@code try}, which carries out one run of the plan that is bundled with the program. */
final class TryCommand {
    private static final String PLAN_RESOURCE = "/rampshift/testbed/try.toml";
    private static final double MS_PER_SECOND = 1000;

    private final FleetOptions options;
    private final PrintStream out;

    TryCommand(FleetOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /**
     * Carries out the run, and prints its progress and a summary.
     *
     * @return an {@link ExitCode}
     */
    int run() throws IOException, InterruptedException {
        Path keptFolder = options.keptFolder();
        Path folder = keptFolder == null ? Files.createTempDirectory("rampshift-try")
                : Files.createDirectories(keptFolder).toAbsolutePath();
        Path planFile = folder.resolve("try.toml");
        try (InputStream resource = TryCommand.class.getResourceAsStream(PLAN_RESOURCE)) {
            Files.write(planFile, resource.readAllBytes());
        }
        if (keptFolder == null) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> deleteAll(folder)));
        }
        FleetPlan plan = FleetPlanReader.read(planFile);
        RunSpec spec =
                new RunSpec(plan, planFile, null, options.seed(plan.seed()), new RunFolder(folder));
        printPlan(plan);
        RunOutcome outcome = new FleetRun(new ChildProcesses(), spec, out::println).execute();
        SummaryTable.print(outcome, out);
        if (keptFolder != null) {
            out.println("\nledgers, logs and configurations are in " + folder);
        }
        if (outcome.isVoid()) {
            return ExitCode.VOID;
        }
        return outcome.keptRules() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private void printPlan(FleetPlan plan) {
        out.println("two sites, " + plan.workerCount() + " workers, " + plan.dispatcherCount()
                + " dispatchers, " + Math.round(plan.length().millis() / MS_PER_SECOND)
                + " s of mixed traffic:");
        for (FleetPlan.Fault fault : plan.faults()) {
            out.printf("  at %2.0f s  %s, %s, for %.0f s%n", fault.at().millis() / MS_PER_SECOND,
                    fault.what().name().toLowerCase(Locale.ROOT), String.join(" ", fault.names()),
                    fault.length().millis() / MS_PER_SECOND);
        }
    }

    private static void deleteAll(Path folder) {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            // The folder is temporary, so the system deletes it later.
        }
    }
}
