package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/**
 * Searches for the capacity of a plan's dispatchers: the highest rate at which the 99th percentile of added
 * latency stays within the plan's bound. Then runs the dispatchers at that rate and at multiples of it.
 */
final class CapacitySearch {
    /** The smallest share of tasks that must finish for a rate to count as sustained. */
    private static final double MIN_FINISHED_SHARE = 0.99;
    private static final int[] OVERLOAD_FACTORS = {1, 2, 4};
    /** The name of the arm that sets the rate of a run. */
    private static final String RUN_ARM = "rung";

    private final Path planFile;
    private final String arm;
    private final FleetPlan plan;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses children = new ChildProcesses();
    private final ObjectNode results = new ObjectMapper().createObjectNode();
    private final ArrayNode runResults = results.putArray("runs");

    /**
     * Prepares a search.
     *
     * @param planFile the fleet file that the plan was read from
     * @param arm the arm whose capacity is searched for; null for the file without any arm
     * @param plan the plan with the settings of the arm
     * @param folder where the results and a folder for each run are written
     */
    CapacitySearch(Path planFile, String arm, FleetPlan plan, Path folder, PrintStream out) {
        this.planFile = planFile;
        this.arm = arm;
        this.plan = plan;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Carries out all runs, and writes and prints the results.
     *
     * @return an {@link ExitCode}: failure if a rule was broken
     */
    int run() throws IOException, InterruptedException {
        out.printf("%10s %12s %10s %10s %10s %10s %9s%n", "tasks/s", "finished/s", "added p50", "added p99",
                "latency p99", "CPU a try", "bounced");
        RateSearch search =
                new RateSearch(plan.arrivals().rate(), plan.ladder().maxRate(), plan.ladder().tolerance());
        boolean keptRules = true;
        while (search.nextRate() > 0) {
            RunOutcome outcome = runAt(search.nextRate());
            keptRules &= outcome.keptRules();
            // Late sends can only make the result worse. So a sustained rate counts even if its run is void,
            // and the search repeats a rate that was not sustained.
            search.addResult(isSustained(outcome));
        }
        double capacity = search.highestSustained();
        results.put("carried", capacity);
        out.printf(Locale.ROOT, "carried: %.0f tasks/s with a 99th percentile of added time up to %.1f ms%n",
                capacity, plan.ladder().maxAddedLatency().millis());
        if (capacity > 0) {
            for (int factor : OVERLOAD_FACTORS) {
                keptRules &= runAt(capacity * factor).keptRules();
            }
        }
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(folder.resolve("ladder.json").toFile(),
                results);
        return keptRules ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private boolean isSustained(RunOutcome outcome) {
        long addedMicros = outcome.load().totalHistogram(LatencyKind.ADDED).getValueAtPercentile(99);
        TrafficCounts counts = outcome.load().totalCounts();
        return addedMicros <= plan.ladder().maxAddedLatency().micros()
                && counts.ended(TaskEnd.FINISHED) >= MIN_FINISHED_SHARE * counts.tasks();
    }

    /** Carries out a run at a rate in tasks per second. */
    private RunOutcome runAt(double rate) throws IOException, InterruptedException {
        String rateText = String.format(Locale.ROOT, "%.0f", rate);
        Path runPath = Files.createDirectories(folder.resolve(rateText + "-" + runResults.size()));
        Path runPlanFile = writePlan(runPath, rateText);
        FleetPlan runPlan = FleetPlanReader.read(runPlanFile, RUN_ARM);
        RunFolder runFolder = new RunFolder(runPath);
        RunSpec spec = new RunSpec(runPlan, runPlanFile, RUN_ARM, plan.seed(), runFolder);
        RunOutcome outcome = new FleetRun(children, spec).execute();
        printRow(rateText, outcome);
        runResults.add(OutcomeJson.of(outcome).put("rate", rate));
        if (outcome.keptRules()) {
            runFolder.deleteEventLogs();
        }
        return outcome;
    }

    /** Writes the fleet file with an additional arm that sets the rate, so that the run can be repeated. */
    private Path writePlan(Path runPath, String rateText) throws IOException {
        StringBuilder settings = new StringBuilder();
        findArmWithSettings()
                .ifPresent(base -> base.set().fields().forEachRemaining(field -> settings.append('"')
                        .append(field.getKey()).append("\" = ").append(field.getValue()).append(", ")));
        List<String> lines = new ArrayList<>(Files.readAllLines(planFile));
        lines.addAll(List.of("", "[[arm]]", "name = \"" + RUN_ARM + "\"",
                "set = { " + settings + "\"arrivals.rate\" = " + rateText + ".0 }"));
        return Files.write(runPath.resolve(RUN_ARM + ".toml"), lines);
    }

    private Optional<FleetPlan.Arm> findArmWithSettings() {
        return plan.arms().stream().filter(each -> each.name().equals(arm) && each.set() != null)
                .findFirst();
    }

    private void printRow(String rateText, RunOutcome outcome) {
        out.printf(Locale.ROOT, "%10s %12.0f %10.2f %10.2f %10.2f %10.0f %8.1f%%%s%s%n", rateText,
                outcome.finishedPerSecond(), outcome.percentileMs(LatencyKind.ADDED, 50),
                outcome.percentileMs(LatencyKind.ADDED, 99), outcome.percentileMs(LatencyKind.LATENCY, 99),
                Figure.CPU_PER_REQUEST.of(outcome), Figure.BOUNCED.of(outcome),
                outcome.keptRules() ? "" : "  A RULE BROKE",
                outcome.isVoid() ? "  " + outcome.voidCause() : "");
    }
}
