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

/** The options and files that a command of the fleet is given. */
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
            .addOption(withArgument(FOLDER, "where configurations, ledgers and results go"))
            .addOption(withArgument(SEED, "another seed than the file's"))
            .addOption(withArgument(ARM, "the file as that arm has it"))
            .addOption(withArgument(DISPATCHERS, "addresses of dispatchers, with commas"))
            .addOption(withArgument(PROCESS, "which of the load processes this is"))
            .addOption(withArgument(SEEDS,
                    "for together: how many rounds, or the first and the last as 5-9"))
            .addOption(Option.builder().longOpt(SHRINK)
                    .desc("for together: the fewest faults that still break a rule").get())
            .addOption(withArgument(KEEP, "for try: keep the run's folder, here"))
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
     * @param arguments the command's name, which is not parsed, and what follows it
     * @throws ConfigurationException if an option is unknown or lacks its argument
     */
    static FleetOptions parse(String[] arguments) {
        try {
            return new FleetOptions(
                    new DefaultParser().parse(OPTIONS, Arrays.copyOfRange(arguments, 1, arguments.length)));
        } catch (ParseException e) {
            throw new ConfigurationException(e.getMessage() + "; rampshift --help tells more");
        }
    }

    /** The one file of a command; throws a ConfigurationException if there is none or more. */
    Path file() {
        if (files().size() != 1) {
            throw new ConfigurationException("takes one file; rampshift --help tells more");
        }
        return Path.of(files().get(0));
    }

    /** Throws a ConfigurationException if there is a file. */
    void requireNoFile() {
        if (!files().isEmpty()) {
            throw new ConfigurationException("takes no file");
        }
    }

    private List<String> files() {
        return line.getArgList();
    }

    /** The folder for the command's files, which is created; a new temporary one if none is given. */
    Path createFolder(String temporaryPrefix) throws IOException {
        String folder = line.getOptionValue(FOLDER);
        if (folder == null) {
            return Files.createTempDirectory(temporaryPrefix);
        }
        return Files.createDirectories(Path.of(folder)).toAbsolutePath();
    }

    /** The folder of a run that has ended; throws a ConfigurationException if none is given. */
    Path existingFolder() {
        if (!line.hasOption(FOLDER)) {
            throw new ConfigurationException("--folder is missing: where the ledgers are");
        }
        return Path.of(line.getOptionValue(FOLDER));
    }

    /** The folder for a trial that is to be kept; null if it is not. It may not exist yet. */
    Path keptFolder() {
        return line.hasOption(KEEP) ? Path.of(line.getOptionValue(KEEP)) : null;
    }

    /** The arm of the fleet file; null for the file as it stands. */
    String arm() {
        return line.getOptionValue(ARM);
    }

    /** The seed. */
    long seed(long ifAbsent) {
        return number(SEED, ifAbsent);
    }

    /** The number of the load process, from 0. */
    int process() {
        return (int) number(PROCESS, 0);
    }

    private long number(String option, long ifAbsent) {
        String value = line.getOptionValue(option);
        if (value == null) {
            return ifAbsent;
        }
        if (!value.matches("\\d{1,15}")) {
            throw new ConfigurationException(
                    "--" + option + " is \"" + value + "\", expected a whole number");
        }
        return Long.parseLong(value);
    }

    /** The addresses of dispatchers as they are given, unchecked; empty if the option is missing. */
    Optional<List<String>> dispatchers() {
        return Optional.ofNullable(line.getOptionValue(DISPATCHERS)).map(text -> List.of(text.split(",")));
    }

    /** The seeds of a fault campaign. */
    SeedRange seeds() {
        return SeedRange.parse(line.getOptionValue(SEEDS, DEFAULT_SEEDS));
    }

    /** Whether a fault campaign is to look for the faults that matter. */
    boolean shrinkFaults() {
        return line.hasOption(SHRINK);
    }

    /** Whether a {@link FleetRun} controls this process. */
    boolean controlled() {
        return line.hasOption(CONTROLLED);
    }
}
