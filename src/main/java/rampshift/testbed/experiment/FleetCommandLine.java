package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import rampshift.eventlog.EventClock;
import rampshift.settings.Configuration;
import rampshift.settings.ConfigurationException;
import rampshift.settings.InvalidInputException;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.verification.Verdict;

/** The fleet's commands, and what each is given. */
public final class FleetCommandLine {
    private static final Options OPTIONS = new Options()
            .addOption(option("folder", "where configurations, ledgers and results go"))
            .addOption(option("seed", "another seed than the file's"))
            .addOption(option("arm", "the file as that arm has it"))
            .addOption(option("to", "addresses of dispatchers, with commas"))
            .addOption(option("process", "which of the load processes this is"))
            .addOption(option("seeds", "for together: how many rounds, or the first and the last as 5-9"))
            .addOption(Option.builder().longOpt("shrink")
                    .desc("for together: the fewest faults that still break a rule").get())
            .addOption(option("keep", "for try: keep the run's folder, here"))
            .addOption(Option.builder().longOpt("steered").get());

    private FleetCommandLine() {}

    private static Option option(String name, String what) {
        return Option.builder().longOpt(name).hasArg().desc(what).get();
    }

    public static int run(String[] arguments, PrintStream out) throws IOException, InterruptedException {
        CommandLine line;
        try {
            line = new DefaultParser().parse(OPTIONS, Arrays.copyOfRange(arguments, 1, arguments.length));
        } catch (ParseException e) {
            throw new ConfigurationException(e.getMessage() + "; rampshift --help tells more");
        }
        String command = arguments[0];
        int wanted = command.equals("try") ? 0 : 1;
        if (line.getArgList().size() != wanted) {
            throw new ConfigurationException(
                    wanted == 0 ? "takes no file" : "takes one file; rampshift --help tells more");
        }
        if (command.equals("try")) {
            return tryOut(line, out);
        }
        Path file = Path.of(line.getArgList().get(0));
        if (command.equals("profile")) {
            CpuProfile.read(file).print(out);
            return 0;
        }
        FleetPlan plan = FleetPlanReader.read(file, line.getOptionValue("arm"));
        long seed = number(line, "seed", plan.seed());
        return switch (command) {
            case "fleet" -> {
                RunProcesses.fleet(plan, seed, folder(line, "rampshift-fleet"), line.hasOption("steered"),
                        out);
                yield 0;
            }
            case "load" -> load(line, plan, seed, out);
            case "experiment" -> new Experiment(file, plan, folder(line, "rampshift-experiment"), out).run();
            case "together" -> new FaultCampaign(file, plan, folder(line, "rampshift-together"),
                    line.getOptionValue("seeds", "10"),
                    line.hasOption("shrink"), out).run();
            case "ladder" ->
                new CapacitySearch(file, line.getOptionValue("arm"), plan, folder(line, "rampshift-ladder"),
                        out)
                        .run();
            default -> judge(line, plan, out);
        };
    }

    private static Path folder(CommandLine line, String prefix) throws IOException {
        String given = line.getOptionValue("folder");
        if (given == null) {
            return Files.createTempDirectory(prefix);
        }
        return Files.createDirectories(Path.of(given)).toAbsolutePath();
    }

    private static long number(CommandLine line, String option, long ifAbsent) {
        String given = line.getOptionValue(option);
        if (given == null) {
            return ifAbsent;
        }
        if (!given.matches("\\d{1,15}")) {
            throw new ConfigurationException(
                    "--" + option + " is \"" + given + "\", expected a whole number");
        }
        return Long.parseLong(given);
    }

    private static int load(CommandLine line, FleetPlan plan, long seed, PrintStream out) throws IOException {
        Path folder = folder(line, "rampshift-load");
        List<InetSocketAddress> to = new ArrayList<>();
        if (line.hasOption("to")) {
            for (String address : line.getOptionValue("to").split(",")) {
                try {
                    to.add(Configuration.address("--to " + address, address));
                } catch (InvalidInputException e) {
                    throw new ConfigurationException(e.getMessage());
                }
            }
        } else {
            to = Configurations.listens(folder);
        }
        boolean steered = line.hasOption("steered");
        int status =
                RunProcesses.load(plan, seed, (int) number(line, "process", 0), to, folder, steered, out);
        if (!steered && status == 0) {
            RunOutcome o = RunOutcome.read(plan, folder, new RunOutcome.Costs(List.of(), List.of(), 0),
                    EventClock.now());
            SummaryTable.print(o, out);
            return o.isVoid() ? 3 : 0;
        }
        return status;
    }

    private static int judge(CommandLine line, FleetPlan plan, PrintStream out) throws IOException {
        if (!line.hasOption("folder")) {
            throw new ConfigurationException("--folder is missing: where the ledgers are");
        }
        Verdict verdict = RunOutcome.judge(plan, Path.of(line.getOptionValue("folder")));
        SummaryTable.rules(verdict, out);
        return verdict.kept() ? 0 : 1;
    }

    /** No file, no arguments: the plan that comes with the program. */
    private static int tryOut(CommandLine line, PrintStream out) throws IOException, InterruptedException {
        boolean kept = line.hasOption("keep");
        Path folder = kept ? Files.createDirectories(Path.of(line.getOptionValue("keep"))).toAbsolutePath()
                : Files.createTempDirectory("rampshift-try");
        Path file = folder.resolve("try.toml");
        try (InputStream in = FleetCommandLine.class.getResourceAsStream("/rampshift/testbed/try.toml")) {
            Files.write(file, in.readAllBytes());
        }
        if (!kept) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
        }
        FleetPlan plan = FleetPlanReader.read(file);
        long seed = number(line, "seed", plan.seed());
        out.println("two sites, " + plan.workerCount() + " workers, " + plan.dispatcherCount()
                + " dispatchers, " + Math.round(plan.length().millis() / 1000) + " s of mixed traffic:");
        for (FleetPlan.Trouble t : plan.troubles()) {
            out.printf("  at %2.0f s  %s, %s, for %.0f s%n", t.at().millis() / 1000,
                    t.what().name().toLowerCase(java.util.Locale.ROOT), String.join(" ", t.names()),
                    t.length().millis() / 1000);
        }
        RunOutcome o =
                new FleetRun(new ChildProcesses(), plan, file, null, seed, folder, out::println).play();
        SummaryTable.print(o, out);
        if (kept) {
            out.println("\nledgers, logs and configurations are in " + folder);
        }
        return o.isVoid() ? 3 : o.verdict.kept() ? 0 : 1;
    }

    private static void delete(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(one);
            }
        } catch (IOException e) {
            // It is a folder for passing things; the system clears it.
        }
    }
}
