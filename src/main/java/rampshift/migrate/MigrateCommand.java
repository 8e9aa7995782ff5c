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
 * {@code rampshift migrate}: reads a configuration and writes its counterpart for another deployment beside
 * it.
 */
public final class MigrateCommand {
    private static final String HELP_RESOURCE = "help.txt";
    private static final long MAX_FILE_BYTES = 1 << 22;
    private static final int EXIT_DONE = 0;
    private static final int EXIT_INVALID_INPUT = 2;

    private MigrateCommand() {}

    /**
     * The exit status: 0 done, 2 a wrong command line or file, named in one line; then nothing was written.
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
        Path target = checkedTarget(line);
        String file = line.getArgList().get(0);
        TargetDeployment deployment = parse(line.getOptionValue("shape"), TargetDeployment::read);
        Migration migration = parse(file, bytes -> {
            Configuration.read(bytes);      // what serve would reject is not migrated
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

    /** The file to write, which must not exist; null for a dry run. */
    private static Path checkedTarget(CommandLine line) throws ParseException {
        if (line.getArgList().size() != 1 || !line.hasOption("shape")) {
            throw new ParseException(
                    "one OLD and its --shape SHAPE are wanted; rampshift migrate --help tells more");
        }
        if (line.hasOption("out") == line.hasOption("dry-run")) {
            throw new ParseException("either --out NEW or --dry-run is wanted");
        }
        Path target = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
        if (target != null && Files.exists(target)) {
            throw new ConfigurationException(target + " exists and is left as it is");
        }
        return target;
    }

    private interface Parser<T> {
        T parse(byte[] bytes) throws IOException;
    }

    /** What a file holds; a fault is named with the file and, where it is no JSON, with line and column. */
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

    /** Writes the whole file or none: a file cut short must never be taken for a configuration. */
    private static void write(Path target, byte[] bytes, Path permissionsFrom) throws IOException {
        Path folder = target.toAbsolutePath().getParent();
        if (!Files.isDirectory(folder)) {
            throw new ConfigurationException("--out " + target + ": there is no folder " + folder);
        }
        Path temporary = Files.createTempFile(folder, ".migrate", ".half");
        try {
            Files.write(temporary, bytes);
            Files.setPosixFilePermissions(temporary, Files.getPosixFilePermissions(permissionsFrom));
            // A link fails where the name has been taken meanwhile; a move would replace that file.
            Files.createLink(target, temporary);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
