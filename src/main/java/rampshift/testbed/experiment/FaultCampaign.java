package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.verification.Verdict;

/**
 * Carries out runs of dispatchers with membership, each with random faults generated from its seed. For each
 * run that broke a rule, prints the faults and writes a fleet file that repeats the run.
 */
final class FaultCampaign {
    /** The campaign is void if more than one run out of this number is void. */
    private static final int RUNS_PER_VOID_RUN = 3;

    private final Path planFile;
    private final Path folder;
    private final SeedRange seeds;
    private final boolean shrinkFaults;
    private final PrintStream out;
    private final FaultGenerator faultGenerator;
    private final ChildProcesses children = new ChildProcesses();
    private int brokenRuns;
    private int voidRuns;
    private double lowestEarningsShare = 1;

    /**
     * Prepares a campaign.
     *
     * @param planFile the fleet file that the plan was read from
     * @param folder where a folder for each run is written
     * @param seeds the seeds, one for each run
     * @param shrinkFaults whether to repeat broken runs with fewer faults, to find the faults that are needed
     * @throws ConfigurationException if the plan does not enable membership
     */
    FaultCampaign(Path planFile, FleetPlan plan, Path folder, SeedRange seeds, boolean shrinkFaults,
            PrintStream out) {
        if (!plan.members().enabled()) {
            throw new ConfigurationException(
                    planFile + ": has no [members] section: this command requires membership");
        }
        this.planFile = planFile;
        this.folder = folder;
        this.seeds = seeds;
        this.shrinkFaults = shrinkFaults;
        this.out = out;
        faultGenerator = new FaultGenerator(plan);
    }

    /**
     * Carries out all runs.
     *
     * @return an {@link ExitCode}: failure if a rule was broken, void if too many runs were void
     */
    int run() throws IOException, InterruptedException {
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            runSeed(seed);
        }
        out.printf(Locale.ROOT,
                "%d rounds, %d void, %d with a broken rule; earnings served %.1f%% at the least%n",
                seeds.count(), voidRuns, brokenRuns, 100 * lowestEarningsShare);
        if (brokenRuns > 0) {
            return ExitCode.FAILURE;
        }
        return (long) voidRuns * RUNS_PER_VOID_RUN > seeds.count() ? ExitCode.VOID : ExitCode.SUCCESS;
    }

    private void runSeed(long seed) throws IOException, InterruptedException {
        List<FaultSection> faults = faultGenerator.generate(seed);
        RunOutcome outcome = runOnce(seed, faults, "seed-" + seed);
        lowestEarningsShare = Math.min(lowestEarningsShare, outcome.servedEarningsShare());
        voidRuns += outcome.isVoid() ? 1 : 0;
        out.printf(Locale.ROOT, "seed %d: %d faults, earnings served %.1f%%, %s%n", seed, faults.size(),
                100 * outcome.servedEarningsShare(), describe(outcome));
        if (isBroken(outcome)) {
            brokenRuns++;
            reportBrokenRun(seed, faults, outcome.verdict());
        }
    }

    private static boolean isBroken(RunOutcome outcome) {
        return !outcome.isVoid() && !outcome.keptRules();
    }

    private static String describe(RunOutcome outcome) {
        if (outcome.isVoid()) {
            return "void: this machine was too busy";
        }
        return outcome.keptRules() ? "kept" : "BROKEN: " + brokenRules(outcome.verdict());
    }

    private static String brokenRules(Verdict verdict) {
        return String.join(", ",
                verdict.rules().stream().filter(rule -> rule.breaches() > 0).map(Verdict.Rule::name)
                        .toList());
    }

    private void reportBrokenRun(long seed, List<FaultSection> faults, Verdict verdict)
            throws IOException, InterruptedException {
        SummaryTable.printRules(verdict, out);
        List<FaultSection> reported = shrinkFaults ? shrink(seed, faults) : faults;
        Path repeatFile =
                Files.writeString(folder.resolve("breach-" + seed + ".toml"), planWithFaults(reported));
        out.println("faults of this run, repeated by `experiment " + repeatFile + "`:");
        reported.forEach(fault -> out.print(fault.toToml()));
    }

    private RunOutcome runOnce(long seed, List<FaultSection> faults, String name)
            throws IOException, InterruptedException {
        Path runPath = Files.createDirectories(folder.resolve(name));
        Path runPlanFile = Files.writeString(runPath.resolve("plan.toml"), planWithFaults(faults));
        FleetPlan runPlan = FleetPlanReader.read(runPlanFile);
        RunSpec spec = new RunSpec(runPlan, runPlanFile, null, seed, new RunFolder(runPath));
        return new FleetRun(children, spec).execute();
    }

    private String planWithFaults(List<FaultSection> faults) throws IOException {
        return Files.readString(planFile) + "\n"
                + String.join("", faults.stream().map(FaultSection::toToml).toList());
    }

    /** Removes each fault without which a rule is still broken, and returns the remaining faults. */
    private List<FaultSection> shrink(long seed, List<FaultSection> faults)
            throws IOException, InterruptedException {
        List<FaultSection> needed = new ArrayList<>(faults);
        for (int i = needed.size() - 1; i >= 0 && needed.size() > 1; i--) {
            List<FaultSection> fewer = new ArrayList<>(needed);
            fewer.remove(i);
            if (isBroken(runOnce(seed, fewer, "seed-" + seed + "-without-" + i))) {
                needed = fewer;
            }
        }
        return needed;
    }
}
