package rampshift.testbed;

import java.io.IOException;
import java.io.PrintStream;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.experiment.FleetCommandLine;
import rampshift.testbed.experiment.RunFailedException;

/** The fleet's part of the command line. Loaded by name, from a jar of its own: `serve` never sees it. */
public final class Commands {
    private Commands() {}

    /**
     * Runs a command with its arguments, its name first. Status 0: done; 1: a run failed or broke a rule; 2:
     * input.
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
