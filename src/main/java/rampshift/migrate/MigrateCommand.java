package rampshift.migrate;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import rampshift.settings.Configuration;
import rampshift.settings.ConfigurationException;
import rampshift.settings.ConfigurationFault;
import rampshift.settings.JsonTree;
import rampshift.settings.SourcePosition;

/**
 * The command {@code rampshift migrate}: reads a configuration and writes its counterpart for another
 * deployment to a new file.
 */
public final class MigrateCommand {
    private static final String HELP_RESOURCE = "help.txt";
    private static final long MAX_FILE_BYTES = 1 << 22;
    private static final int EXIT_DONE = 0;
    private static final int EXIT_INVALID_INPUT = 2;

    private MigrateCommand() {}

    /**
     * Runs the command and returns the exit status: 0 if done; 2 if the command line or a file is invalid, in
     * which case the error is reported on one line and nothing is written.
     */
    public static int run(List<String> args, PrintStream out, PrintStream err) {
        try {
            CommandLine line = new DefaultParser(false).parse(options(), args.toArray(String[]::new));
            if (line.hasOption("help")) {
                printHelp(out);
            } else {
                migrate(line, out);
            }
            return EXIT_DONE;
        } catch (ParseException | ConfigurationException e) {
            err.println("rampshift migrate: " + e.getMessage());
        } catch (InvalidPathException | IOException e) {
            err.println("rampshift migrate: " + e);
        }
        return EXIT_INVALID_INPUT;
    }

    private static void printHelp(PrintStream out) throws IOException {
        try (InputStream text = MigrateCommand.class.getResourceAsStream(HELP_RESOURCE)) {
            out.print(new String(text.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private static Options options() {
        return new Options().addOption(Option.builder().longOpt("shape").hasArg().get())
                .addOption(Option.builder().longOpt("out").hasArg().get())
                .addOption(Option.builder().longOpt("dry-run").get())
                .addOption(Option.builder().longOpt("help").get());
    }

    private static void migrate(CommandLine line, PrintStream out) throws IOException, ParseException {
        Path target = parseTarget(line);
        String file = line.getArgList().get(0);
        TargetDeployment deployment = parse(line.getOptionValue("shape"), TargetDeployment::read);
        Migration migration = parse(file, bytes -> {
            Configuration.read(bytes);      // rejects a configuration that serve would reject
            return new Migration(JsonTree.read(bytes), deployment);
        });
        if (migration.report().isEmpty()) {
            out.println(file + " is of that shape already; nothing was written");
            return;
        }
        byte[] result = JsonTree.write(migration.result());
        Configuration.read(result);
        if (target != null) {
            write(target, result, Path.of(file));
        }
        migration.report().print(out);
        out.println(target == null ? "nothing was written" : "written: " + target);
    }

    /** Returns the file to write, which must not exist, or null for a dry run. */
    private static Path parseTarget(CommandLine line) throws ParseException {
        if (line.getArgList().size() != 1 || !line.hasOption("shape")) {
            throw new ParseException(
                    "expected one OLD and --shape SHAPE; see rampshift migrate --help");
        }
        if (line.hasOption("out") == line.hasOption("dry-run")) {
            throw new ParseException("expected either --out NEW or --dry-run");
        }
        Path target = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
        if (target != null && Files.exists(target)) {
            throw new ConfigurationException(target + " already exists and is not overwritten");
        }
        return target;
    }

    private interface Parser<T> {
        T parse(byte[] bytes) throws IOException;
    }

    /** Parses a file. Errors include the name of the file and, for invalid JSON, the line and column. */
    private static <T> T parse(String file, Parser<T> parser) throws IOException {
        try {
            return parser.parse(read(file));
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(new ConfigurationFault(position(file, e.getLocation()), null,
                    e.getOriginalMessage().replace('\n', ' ')));
        } catch (ConfigurationException e) {
            throw e.in(file);
        }
    }

    private static SourcePosition position(String file, JsonLocation location) {
        return location == null ? SourcePosition.ofFile(file)
                : new SourcePosition(file, location.getLineNr(), location.getColumnNr());
    }

    private static byte[] read(String file) throws IOException {
        Path path = Path.of(file);
        if (!Files.isRegularFile(path) || !Files.isReadable(path)) {
            throw new ConfigurationException("cannot be read");
        }
        if (Files.size(path) > MAX_FILE_BYTES) {
            throw new ConfigurationException("over " + MAX_FILE_BYTES + " bytes");
        }
        return Files.readAllBytes(path);
    }

    /** Writes the complete file or none, so that no truncated file can be read as a configuration. */
    private static void write(Path target, byte[] bytes, Path permissionsFrom) throws IOException {
        Path folder = target.toAbsolutePath().getParent();
        if (!Files.isDirectory(folder)) {
            throw new ConfigurationException("--out " + target + ": no such directory: " + folder);
        }
        Path temporary = Files.createTempFile(folder, ".migrate", ".half");
        try {
            Files.write(temporary, bytes);
            Files.setPosixFilePermissions(temporary, Files.getPosixFilePermissions(permissionsFrom));
            // Unlike a move, linking fails if the target has been created meanwhile.
            Files.createLink(target, temporary);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
