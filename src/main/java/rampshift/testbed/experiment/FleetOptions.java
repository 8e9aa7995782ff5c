package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import rampshift.settings.ConfigurationException;

/** The options and files on the command line of a fleet command. */
final class FleetOptions {
    private static final String FOLDER = "folder";
    private static final String SEED = "seed";
    private static final String ARM = "arm";
    private static final String DISPATCHERS = "to";
    private static final String PROCESS = "process";
    private static final String SEEDS = "seeds";
    private static final String SHRINK = "shrink";
    private static final String KEEP = "keep";
    private static final String CONTROLLED = "steered";
    private static final String DEFAULT_SEEDS = "10";

    private static final Options OPTIONS = new Options()
            .addOption(withArgument(FOLDER, "the folder for configurations, ledgers and results"))
            .addOption(withArgument(SEED, "the seed, instead of the one in the file"))
            .addOption(withArgument(ARM, "the arm of the file whose settings apply"))
            .addOption(withArgument(DISPATCHERS, "addresses of dispatchers, separated by commas"))
            .addOption(withArgument(PROCESS, "the number of this load process, from 0"))
            .addOption(withArgument(SEEDS,
                    "for together: the number of seeds, or the first and the last as 5-9"))
            .addOption(Option.builder().longOpt(SHRINK)
                    .desc("for together: reduce the faults to those that break a rule").get())
            .addOption(withArgument(KEEP, "for try: the folder in which to keep the files of the run"))
            .addOption(Option.builder().longOpt(CONTROLLED).get());

    private final CommandLine line;

    private FleetOptions(CommandLine line) {
        this.line = line;
    }

    private static Option withArgument(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    /**
     * Parses a command line.
     *
     * @param arguments the name of the command, which is not parsed, followed by its options and file
     * @throws ConfigurationException if an option is unknown or its argument is missing
     */
    static FleetOptions parse(String[] arguments) {
        try {
            return new FleetOptions(
                    new DefaultParser().parse(OPTIONS, Arrays.copyOfRange(arguments, 1, arguments.length)));
        } catch (ParseException e) {
            throw new ConfigurationException(e.getMessage() + "; see rampshift --help");
        }
    }

    /** Returns the file of the command; throws a ConfigurationException unless there is exactly one. */
    Path file() {
        if (files().size() != 1) {
            throw new ConfigurationException("expected exactly one file; see rampshift --help");
        }
        return Path.of(files().get(0));
    }

    /** Rejects the command line with a ConfigurationException if it has a file. */
    void requireNoFile() {
        if (!files().isEmpty()) {
            throw new ConfigurationException("expected no file");
        }
    }

    private List<String> files() {
        return line.getArgList();
    }

    /** Creates the folder for the files of the command, and returns it; a temporary one if none is given. */
    Path createFolder(String temporaryPrefix) throws IOException {
        String folder = line.getOptionValue(FOLDER);
        if (folder == null) {
            return Files.createTempDirectory(temporaryPrefix);
        }
        return Files.createDirectories(Path.of(folder)).toAbsolutePath();
    }

    /** Returns the folder of a run that has ended; throws a ConfigurationException if none is given. */
    Path existingFolder() {
        if (!line.hasOption(FOLDER)) {
            throw new ConfigurationException("--folder is missing, expected the folder of the ledgers");
        }
        return Path.of(line.getOptionValue(FOLDER));
    }

    /** Returns the folder in which to keep the run's files, which may not exist yet; null to delete them. */
    Path keptFolder() {
        return line.hasOption(KEEP) ? Path.of(line.getOptionValue(KEEP)) : null;
    }

    /** Returns the arm of the fleet file; null for the file without any arm. */
    String arm() {
        return line.getOptionValue(ARM);
    }

    /** Returns the seed, or the default if none is given. */
    long seed(long defaultValue) {
        return number(SEED, defaultValue);
    }

    /** Returns the number of the load process, from 0. */
    int process() {
        return (int) number(PROCESS, 0);
    }

    private long number(String option, long defaultValue) {
        String value = line.getOptionValue(option);
        if (value == null) {
            return defaultValue;
        }
        if (!value.matches("\\d{1,15}")) {
            throw new ConfigurationException(
                    "--" + option + " is \"" + value + "\", expected a whole number");
        }
        return Long.parseLong(value);
    }

    /** Returns the unparsed addresses of dispatchers; empty if the option is missing. */
    Optional<List<String>> dispatchers() {
        return Optional.ofNullable(line.getOptionValue(DISPATCHERS)).map(text -> List.of(text.split(",")));
    }

    /** Returns the seeds of a fault campaign. */
    SeedRange seeds() {
        return SeedRange.parse(line.getOptionValue(SEEDS, DEFAULT_SEEDS));
    }

    /** Returns whether a fault campaign repeats broken runs with fewer faults. */
    boolean shrinkFaults() {
        return line.hasOption(SHRINK);
    }

    /** Returns whether a {@link FleetRun} controls this process. */
    boolean controlled() {
        return line.hasOption(CONTROLLED);
    }
}
