package rampshift.testbed;

import java.io.IOException;
import java.io.PrintStream;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.experiment.FleetCommandLine;
import rampshift.testbed.experiment.RunFailedException;

/**
 * The entry point of the test bed's commands. The class is loaded by name from a separate jar, which the
 * command {@code serve} never loads.
 */
public final class Commands {
    private Commands() {}

    /**
     * Runs a command.
     *
     * @param arguments the name of the command, then its arguments
     * @return the exit status: 0 for success, 1 if a run failed, broke a rule, hit an I/O error or was
     *         interrupted, 2 for invalid input, 3 if the load generator was too late for a valid run
     */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        try {
            return FleetCommandLine.run(arguments, out);
        } catch (ConfigurationException e) {
            out.flush();
            print(e.getMessage(), arguments[0], err);
            return 2;
        } catch (RunFailedException e) {
            out.flush();
            print(e.getMessage(), arguments[0], err);
            return 1;
        } catch (IOException e) {
            err.println("rampshift " + arguments[0] + ": " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void print(String lines, String command, PrintStream err) {
        for (String line : lines.split("\n", 0)) {
            err.println(line.startsWith("  ") ? line : "rampshift " + command + ": " + line);
        }
    }
}
