package rampshift;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.Semaphore;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import rampshift.log.Log;
import rampshift.migrate.MigrateCommand;
import rampshift.serve.DispatcherServer;
import rampshift.serve.ServerExtension;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.simulator.SimulatorHost;
import sun.misc.Signal;

/** The command line: sub-commands, and what each is given. */
public final class Main {
    private static final String HELP =
            """
                    usage: rampshift [--help] [--version] COMMAND

                      serve      run a dispatcher on sockets, by the file that NODE_CONFIG names, until SIGTERM;
                                 SIGHUP: read the file again; --operator FILE, or RAMPSHIFT_OPERATOR: with what
                                 that file asks for
                      check      read that file and say whether serve could start with it
                      migrate    write a configuration's counterpart for another shape of deployment (--help: how)
                      members    ask the dispatcher of an operator's file (--operator FILE) whom it knows of its fleet
                      leases     ask it who holds the fleet's leases, or tell it: give NAME [TO], hold NAME TIME,
                                 keepers NAME,NAME,...
                      duties     ask it how far the fleet's duties have come
                      counters   ask the dispatcher of that file what it has taken in, sent and answered
                      rehearse   start without a configuration, warm up and stop: for the archive of loaded classes
                      drill      play the simulator's wire on standard input and output
                      version    print the version

                      try                  a whole fleet on loopback for 20 s: no configuration, no arguments
                      fleet FILE           the workers and the roster of a fleet file, for a dispatcher of your own
                      load FILE            its clients (--folder of `fleet`, or --to ADDRESS:PORT,...)
                      experiment FILE      its arms against one another, run by run, with a report (--folder)
                      ladder FILE          the rate that its dispatchers carry, and what comes of twice and four times that
                      judge FILE           the ledgers of a run's --folder once more
                      together FILE        dispatchers that know each other under random faults, judged; --seeds, --shrink
                      profile RECORDING    where the CPU time of a dispatcher went, by the JVM's own flight recording

                      -h, --help       print this
                      -V, --version    print the version

                    Exit status: 0 done; 1 a fault, a broken rule, or input that the wire does not allow; 2 a wrong
                    command line, file, configuration or environment; 3 a run is void, its figures mean nothing.
                    """;

    private Main() {}

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
        Options options = new Options().addOption(new Option("h", "help", false, null))
                .addOption(new Option("V", "version", false, null))
                .addOption(new Option(null, "operator", true, null));
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return wrong(e.getMessage(), err);
        }
        if (line.hasOption("help")) {
            out.print(HELP);
            return 0;
        }
        if (line.hasOption("version")) {
            return version(out);
        }
        boolean several = !line.getArgList().isEmpty() && line.getArgList().get(0).equals("leases");
        if (line.getArgList().size() != 1 && !several) {
            return wrong(line.getArgList().isEmpty() ? "no command" : "more than one command", err);
        }
        String command = line.getArgList().get(0);
        return switch (command) {
            case "drill" -> SimulatorHost.run(System.in, out, err);
            case "serve", "check", "counters", "members", "leases", "duties" -> configured(line.getArgList(),
                    line.getOptionValue("operator", environment.get("RAMPSHIFT_OPERATOR")), environment, out,
                    err);
            case "rehearse" -> rehearse();
            case "version" -> version(out);
            case "help" -> {
                out.print(HELP);
                yield 0;
            }
            default -> wrong("unknown command " + command, err);
        };
    }

    private static int configured(List<String> words, String operator, Map<String, String> environment,
            PrintStream out,
            PrintStream err) {
        String command = words.get(0);
        Semaphore hangups = new Semaphore(0);
        if (command.equals("serve")) {
            // Left alone the JVM takes SIGHUP for a stop: a new configuration ended the dispatcher.
            Signal.handle(new Signal("HUP"), s -> hangups.release());
        }
        try {
            if (command.equals("members") || command.equals("duties")) {
                out.print(OptionalJars.operator(command, named(operator)));
                return 0;
            }
            if (command.equals("leases")) {
                out.print(OptionalJars.operator("leases", named(operator),
                        words.subList(1, words.size()).toArray(new String[0])));
                return 0;
            }
            Configuration configuration = Configuration.read(environment);
            switch (command) {
                case "check" ->
                    out.println("good: " + configuration.name() + " on " + configuration.listen());
                case "counters" -> out.print(StatusClient.page(configuration.listen(), "/counters"));
                default -> serve(configuration, operator, hangups, environment);
            }
            return 0;
        } catch (InvalidInputException | IOException e) {
            Log.flush();
            for (String line : e.getMessage().split("\n")) {
                err.println("rampshift " + command + ": " + line);
            }
            return 2;
        }
    }

    /** Runs it; on SIGHUP the file is read again, here, where nothing waits for the disk. */
    private static void serve(Configuration configuration, String operator, Semaphore hangups,
            Map<String, String> environment) throws IOException {
        FutureTask<DispatcherServer> start = new FutureTask<>(() -> operator == null || operator.isEmpty()
                ? new DispatcherServer(configuration)
                : new DispatcherServer(configuration,
                        (ServerExtension) OptionalJars.operator("beside", operator, configuration.name(),
                                version())));
        // Before it: clients are taken in while it starts, and a SIGTERM in between ended the process with
        // their tasks.
        Runtime.getRuntime().addShutdownHook(stopper(start));
        start.run();
        DispatcherServer serve = started(start);
        while (!serve.isStopped()) {
            hangups.acquireUninterruptibly();
            hangups.drainPermits();     // several in a row: the file as it is now holds what all of them told
            try {
                serve.reload(Configuration.read(environment));
            } catch (InvalidInputException e) {
                Log.warn("reload", "kept", "the configuration as it was", "why", e.getMessage());
            }
        }
    }

    /** Stops it once it has started, if it does. */
    static Thread stopper(FutureTask<DispatcherServer> start) {
        return new Thread(() -> {
            try {
                started(start).stop();
            } catch (IOException | RuntimeException e) {
                // It never started, and why was said where it was begun.
            }
        }, "stop");
    }

    private static DispatcherServer started(FutureTask<DispatcherServer> start) throws IOException {
        try {
            return start.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw e.getCause() instanceof RuntimeException r ? r : new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }

    private static int rehearse() throws IOException {
        DispatcherServer serve = DispatcherServer.forClassArchive();
        serve.awaitReady();
        serve.stop();
        return 0;
    }

    private static String named(String operator) {
        if (operator == null || operator.isEmpty()) {
            throw new InvalidInputException(
                    "no operator's file: name one by --operator FILE or RAMPSHIFT_OPERATOR");
        }
        return operator;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "(not packaged)" : version;
    }

    private static int version(PrintStream out) {
        out.println("rampshift " + version());
        return 0;
    }

    private static int wrong(String what, PrintStream err) {
        err.println("rampshift: " + what + "; rampshift --help tells more");
        return 2;
    }
}
