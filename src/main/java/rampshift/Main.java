package rampshift;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import rampshift.migrate.MigrateCommand;
import rampshift.serve.DispatcherServer;
import rampshift.simulator.SimulatorHost;

/** The command line: selects the command and passes it its arguments. */
public final class Main {
    private static final String HELP_RESOURCE = "help.txt";

    private Main() {}

    /** Runs one command and exits with its status. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args, System.getenv(), System.out, System.err));
    }

    static int run(String[] args, Map<String, String> environment, PrintStream out, PrintStream err)
            throws IOException {
        if (args.length > 0 && OptionalJars.FLEET.contains(args[0])) {
            return OptionalJars.fleet(args, out, err);
        }
        if (args.length > 0 && args[0].equals("migrate")) {
            return MigrateCommand.run(List.of(args).subList(1, args.length), out, err);
        }
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            return invalid(e.getMessage(), err);
        }
        if (line.hasOption("help")) {
            return help(out);
        }
        if (line.hasOption("version")) {
            return version(out);
        }
        List<String> words = line.getArgList();
        boolean takesArguments = !words.isEmpty() && words.get(0).equals("leases");
        if (words.size() != 1 && !takesArguments) {
            return invalid(words.isEmpty() ? "no command" : "more than one command", err);
        }
        String operatorFile = line.getOptionValue("operator", environment.get("RAMPSHIFT_OPERATOR"));
        return run(words, operatorFile, environment, out, err);
    }

    private static Options options() {
        return new Options().addOption(new Option("h", "help", false, null))
                .addOption(new Option("V", "version", false, null))
                .addOption(new Option(null, "operator", true, null));
    }

    private static int run(List<String> words, String operatorFile, Map<String, String> environment,
            PrintStream out, PrintStream err) throws IOException {
        String command = words.get(0);
        return switch (command) {
            case "drill" -> SimulatorHost.run(System.in, out, err);
            case "serve", "check", "counters", "members", "leases", "duties" ->
                new ConfiguredCommands(environment, operatorFile, out, err).run(words);
            case "rehearse" -> rehearse();
            case "version" -> version(out);
            case "help" -> help(out);
            default -> invalid("unknown command " + command, err);
        };
    }

    /**
     * Starts and stops a dispatcher with a built-in configuration, so that the JVM can archive the classes
     * that it loads.
     */
    private static int rehearse() throws IOException {
        DispatcherServer server = DispatcherServer.forClassArchive();
        server.awaitReady();
        server.stop();
        return ExitStatus.DONE;
    }

    private static int help(PrintStream out) throws IOException {
        try (InputStream text = Main.class.getResourceAsStream(HELP_RESOURCE)) {
            out.print(new String(text.readAllBytes(), StandardCharsets.UTF_8));
        }
        return ExitStatus.DONE;
    }

    /** Returns the version of the jar, or a placeholder for classes that are not packaged. */
    static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    private static int version(PrintStream out) {
        out.println("rampshift " + version());
        return ExitStatus.DONE;
    }

    private static int invalid(String message, PrintStream err) {
        err.println("rampshift: " + message + "; see rampshift --help");
        return ExitStatus.INVALID_INPUT;
    }
}
