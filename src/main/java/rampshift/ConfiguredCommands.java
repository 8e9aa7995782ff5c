package rampshift;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.ConfigurationException;
import rampshift.settings.InvalidInputException;

/**
 * The commands that need a configuration or an operator's file: serve, check, counters, members, leases,
 * duties.
 */
final class ConfiguredCommands {
    private final Map<String, String> environment;
    private final String operatorFile;
    private final PrintStream out;
    private final PrintStream err;

    /** Creates the commands; the operator's file is null or empty if none is given. */
    ConfiguredCommands(Map<String, String> environment, String operatorFile, PrintStream out,
            PrintStream err) {
        this.environment = environment;
        this.operatorFile = operatorFile;
        this.out = out;
        this.err = err;
    }

    /** Runs the command in the first word with the other words as arguments, and returns the exit status. */
    int run(List<String> words) {
        String command = words.get(0);
        try {
            run(command, words.subList(1, words.size()));
            return ExitStatus.DONE;
        } catch (InvalidInputException | IOException e) {
            Log.flush();
            for (String line : e.getMessage().split("\n", 0)) {
                err.println("rampshift " + command + ": " + line);
            }
            return ExitStatus.INVALID_INPUT;
        }
    }

    private void run(String command, List<String> arguments) throws IOException {
        switch (command) {
            case "members", "duties" -> out.print(OptionalJars.operator(command, requiredOperatorFile()));
            case "leases" -> out.print(
                    OptionalJars.operator(command, requiredOperatorFile(), arguments.toArray(new String[0])));
            case "check" -> check();
            case "counters" ->
                out.print(StatusClient.page(Configuration.read(environment).listen(), "/counters"));
            default -> new ServeCommand(environment, operatorFile).run();
        }
    }

    private void check() {
        Configuration configuration = Configuration.read(environment);
        out.println("good: " + configuration.name() + " on " + configuration.listen());
    }

    private String requiredOperatorFile() {
        if (operatorFile == null || operatorFile.isEmpty()) {
            throw new ConfigurationException(
                    "no operator's file: set --operator FILE or RAMPSHIFT_OPERATOR");
        }
        return operatorFile;
    }
}
