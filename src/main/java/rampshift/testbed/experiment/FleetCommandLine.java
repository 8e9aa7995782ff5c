package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import rampshift.settings.Configuration;
import rampshift.settings.ConfigurationException;
import rampshift.settings.InvalidInputException;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.verification.Verdict;

/** Parses the command line of a fleet command and runs the command. */
public final class FleetCommandLine {
    private final String[] arguments;
    private final FleetOptions options;
    private final PrintStream out;

    private FleetCommandLine(String[] arguments, PrintStream out) {
        this.arguments = arguments;
        this.out = out;
        options = FleetOptions.parse(arguments);
    }

    /**
     * Runs a command.
     *
     * @param arguments the name of the command, followed by its options and file
     * @param out receives the output of the command
     * @return the exit code of the process: 0 on success, 1 if a rule was broken, 3 if runs were void
     * @throws ConfigurationException if the arguments or a file they name are invalid
     * @throws RunFailedException if a process of a run ended unexpectedly, or was not ready in time
     * @throws IOException if a file cannot be read or written, or a process or socket cannot be opened
     */
    public static int run(String[] arguments, PrintStream out) throws IOException, InterruptedException {
        return new FleetCommandLine(arguments, out).run();
    }

    private int run() throws IOException, InterruptedException {
        switch (arguments[0]) {
            case "try" -> {
                options.requireNoFile();
                return new TryCommand(options, out).run();
            }
            case "profile" -> {
                CpuProfile.read(options.file()).print(out);
                return ExitCode.SUCCESS;
            }
            default -> {
                return runWithPlan(options.file());
            }
        }
    }

    private int runWithPlan(Path file) throws IOException, InterruptedException {
        FleetPlan plan = FleetPlanReader.read(file, options.arm());
        long seed = options.seed(plan.seed());
        return switch (arguments[0]) {
            case "fleet" -> runFleet(plan, seed);
            case "load" -> runLoad(plan, seed);
            case "experiment" ->
                new Experiment(file, plan, options.createFolder("rampshift-experiment"), out).run();
            case "together" -> new FaultCampaign(file, plan, options.createFolder("rampshift-together"),
                    options.seeds(), options.shrinkFaults(), out).run();
            case "ladder" -> new CapacitySearch(file, options.arm(), plan,
                    options.createFolder("rampshift-ladder"), out).run();
            default -> verify(plan);
        };
    }

    private int runFleet(FleetPlan plan, long seed) throws IOException {
        RunFolder folder = new RunFolder(options.createFolder("rampshift-fleet"));
        new FleetCommand(plan, seed, folder, out).run(options.controlled());
        return ExitCode.SUCCESS;
    }

    private int runLoad(FleetPlan plan, long seed) throws IOException {
        RunFolder folder = new RunFolder(options.createFolder("rampshift-load"));
        Optional<List<String>> addresses = options.dispatchers();
        List<InetSocketAddress> dispatchers = addresses.isPresent() ? parseAddresses(addresses.get())
                : DispatcherConfigurations.readListenAddresses(folder);
        LoadCommand load = new LoadCommand(plan, seed, options.process(), folder, out);
        return options.controlled() ? load.runControlled(dispatchers) : load.run(dispatchers);
    }

    private static List<InetSocketAddress> parseAddresses(List<String> texts) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : texts) {
            try {
                addresses.add(Configuration.address("--to " + text, text));
            } catch (InvalidInputException e) {
                throw new ConfigurationException(e.getMessage());
            }
        }
        return addresses;
    }

    private int verify(FleetPlan plan) throws IOException {
        Verdict verdict = RunVerification.verify(plan, new RunFolder(options.existingFolder()));
        SummaryTable.printRules(verdict, out);
        return verdict.allRulesHold() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
