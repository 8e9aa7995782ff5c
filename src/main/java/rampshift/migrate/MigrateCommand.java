package rampshift.migrate;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
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
import rampshift.settings.InvalidInputException;
import rampshift.settings.JsonTree;

/** {@code rampshift migrate}: reads a configuration, writes its counterpart for the new shape beside it. */
public final class MigrateCommand {
    private static final String HELP =
            """
                    usage: rampshift migrate OLD --shape SHAPE (--out NEW | --dry-run)

                    Reads a dispatcher's configuration and writes its counterpart for a deployment of another shape. OLD is
                    never touched, and NEW must not exist. Says what it changed, what it could not carry over, and what to
                    look at. SHAPE is one JSON object:

                      zones            all zones there, in the order in which they are numbered
                      zone             the dispatcher's own
                      name, listen, discovery    where these differ there
                      dispatchers      how many there are
                      reports          off (if absent), inline or on_probe: how workers tell their load
                      list             on_request (if absent) or pushed: how the list of workers comes
                      ask_within_ms    how long a dispatcher may go without asking for the list
                      probes           whether workers may be probed

                      --dry-run        says it all and writes nothing
                    """;
    private static final long LARGEST = 1 << 22;

    private MigrateCommand() {}

    /** Exit status: 0 done, 2 a wrong command line or file, named in one line; then nothing was written. */
    public static int run(List<String> args, PrintStream out, PrintStream err) {
        Options options = new Options();
        for (String name : List.of("shape", "out")) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        options.addOption(Option.builder().longOpt("dry-run").build())
                .addOption(Option.builder().longOpt("help").build());
        try {
            CommandLine line = new DefaultParser(false).parse(options, args.toArray(String[]::new));
            if (line.hasOption("help")) {
                out.print(HELP);
                return 0;
            }
            migrate(line, out);
            return 0;
        } catch (ParseException | InvalidInputException e) {
            err.println("rampshift migrate: " + e.getMessage());
        } catch (InvalidPathException | IOException e) {
            err.println("rampshift migrate: " + e);
        }
        return 2;
    }

    private static void migrate(CommandLine line, PrintStream out) throws IOException {
        if (line.getArgList().size() != 1 || !line.hasOption("shape")) {
            throw new InvalidInputException(
                    "one OLD and its --shape SHAPE are wanted; rampshift migrate --help tells more");
        }
        if (line.hasOption("out") == line.hasOption("dry-run")) {
            throw new InvalidInputException("either --out NEW or --dry-run is wanted");
        }
        Path to = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
        if (to != null && Files.exists(to)) {
            throw new InvalidInputException(to + " exists and is left as it is");
        }
        String file = line.getArgList().get(0);
        TargetDeployment shape = of(line.getOptionValue("shape"), TargetDeployment::read);
        Migration migration = of(file, bytes -> {
            Configuration.read(bytes);      // What serve would not take is not carried over either.
            return new Migration(JsonTree.read(bytes), shape);
        });
        if (migration.changed.isEmpty() && migration.leftOut.isEmpty()) {
            out.println(file + " is of that shape already; nothing was written");
            return;
        }
        byte[] made = JsonTree.write(migration.result);
        Configuration.read(made);
        if (to != null) {
            write(to, made, Path.of(file));
        }
        say(out, "changed", migration.changed);
        say(out, "not carried over", migration.leftOut);
        say(out, "look at", migration.lookAt);
        out.println(to == null ? "nothing was written" : "written: " + to);
    }

    private interface Reading<T> {
        T of(byte[] bytes) throws IOException;
    }

    /** What is read of a file; what is wrong with it is named with the file, the line and the column. */
    private static <T> T of(String file, Reading<T> reading) throws IOException {
        try {
            return reading.of(read(file));
        } catch (JsonProcessingException e) {
            var at = e.getLocation();
            throw new InvalidInputException(
                    file + (at == null ? "" : ", line " + at.getLineNr() + ", column " + at.getColumnNr())
                            + ": " + e.getOriginalMessage().replace('\n', ' '));
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static byte[] read(String file) throws IOException {
        Path path = Path.of(file);
        if (!Files.isRegularFile(path) || !Files.isReadable(path)) {
            throw new InvalidInputException("cannot be read");
        }
        if (Files.size(path) > LARGEST) {
            throw new InvalidInputException("over " + LARGEST + " bytes");
        }
        return Files.readAllBytes(path);
    }

    /** Whole or not at all: a half-written file must never be taken for a configuration. */
    private static void write(Path to, byte[] made, Path like) throws IOException {
        Path folder = to.toAbsolutePath().getParent();
        if (!Files.isDirectory(folder)) {
            throw new InvalidInputException("--out " + to + ": there is no folder " + folder);
        }
        Path half = Files.createTempFile(folder, ".migrate", ".half");
        try {
            Files.write(half, made);
            Files.setPosixFilePermissions(half, Files.getPosixFilePermissions(like));
            // A link fails where the name is taken meanwhile, a move would put it aside.
            Files.createLink(to, half);
        } finally {
            Files.deleteIfExists(half);
        }
    }

    private static void say(PrintStream out, String what, List<String> lines) {
        lines.forEach(line -> out.println(what + ": " + line));
    }
}
