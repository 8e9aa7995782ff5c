package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/**
 * Compares the arms of a plan by one run of each arm for each seed. The order of the arms rotates from seed
 * to seed, so that changes of the machine's speed affect all arms alike.
 */
final class Experiment {
    private static final String ONLY_ARM = "as it is";
    /** The maximum number of repeats of a void run. If the last repeat is void too, its seed is left out. */
    private static final int MAX_REPEATS = 1;

    private final Path planFile;
    private final FleetPlan plan;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses children = new ChildProcesses();
    private final Map<String, FleetPlan> plansByArm = new LinkedHashMap<>();
    private final ExperimentResults results;

    /**
     * Prepares an experiment. Reads the plans of all arms, so that errors are reported before the first run.
     *
     * @param planFile the fleet file that the plan was read from
     * @param folder where the results and a folder for each run are written
     */
    Experiment(Path planFile, FleetPlan plan, Path folder, PrintStream out) {
        this.planFile = planFile;
        this.plan = plan;
        this.folder = folder;
        this.out = out;
        if (plan.arms().isEmpty()) {
            plansByArm.put(ONLY_ARM, plan);
        }
        for (FleetPlan.Arm arm : plan.arms()) {
            plansByArm.put(arm.name(), FleetPlanReader.read(planFile, arm.name()));
        }
        results = new ExperimentResults(plan.trials(), plansByArm.keySet());
    }

    /**
     * Carries out all runs, and writes and prints the results.
     *
     * @return an {@link ExitCode}: failure if a rule was broken, void if there is no valid seed
     */
    int run() throws IOException, InterruptedException {
        List<String> arms = new ArrayList<>(plansByArm.keySet());
        int firstArm = 0;
        for (long seed : plan.trials().seeds()) {
            for (int i = 0; i < arms.size(); i++) {
                String arm = arms.get((i + firstArm) % arms.size());
                results.add(arm, seed, runUntilNotVoid(arm, seed));
            }
            firstArm++;
        }
        writeResults();
        if (results.validSeeds().isEmpty()) {
            return ExitCode.VOID;
        }
        return results.keptRules() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private RunOutcome runUntilNotVoid(String arm, long seed) throws IOException, InterruptedException {
        String name = arm.replace(' ', '-') + "-" + seed;
        RunOutcome outcome = runOnce(arm, seed, name);
        for (int repeats = 0; repeats < MAX_REPEATS && outcome.isVoid(); repeats++) {
            outcome = runOnce(arm, seed, name + "-again");
        }
        return outcome;
    }

    private RunOutcome runOnce(String arm, long seed, String name) throws IOException, InterruptedException {
        RunFolder runFolder = new RunFolder(folder.resolve(name));
        String armInFile = plan.arms().isEmpty() ? null : arm;
        RunSpec spec = new RunSpec(plansByArm.get(arm), planFile, armInFile, seed, runFolder);
        RunOutcome outcome = new FleetRun(children, spec).execute();
        out.printf(Locale.ROOT,
                "%-16s seed %3d  earnings served %5.1f%%  finished/s %8.1f  added p99 %8.2f ms%s%s%n", arm,
                seed, 100 * outcome.servedEarningsShare(), outcome.finishedPerSecond(),
                outcome.percentileMs(LatencyKind.ADDED, 99),
                outcome.keptRules() ? "" : "  A RULE BROKE",
                outcome.isVoid() ? "  void: " + outcome.voidCause() : "");
        if (outcome.keptRules()) {
            runFolder.deleteEventLogs();
        }
        return outcome;
    }

    private void writeResults() throws IOException {
        Path json = folder.resolve("result.json");
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(json.toFile(),
                ExperimentJson.of(planFile, results));
        Path report = folder.resolve("report.html");
        Files.writeString(report, new Report(plan, results).html());
        ExperimentTable.print(results, out);
        out.println("\n" + report + "\n" + json);
    }
}
