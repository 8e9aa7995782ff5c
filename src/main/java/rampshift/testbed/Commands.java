package rampshift.testbed;

import java.io.IOException;
import java.io.PrintStream;
import rampshift.testbed.experiment.FleetCommandLine;
import rampshift.toml.ConfigurationException;

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
            for (String line : e.getMessage().split("\n")) {
                err.println(line.startsWith("  ") ? line : "rampshift " + arguments[0] + ": " + line);
            }
            return e.status();
        } catch (IOException e) {
            err.println("rampshift " + arguments[0] + ": " + (e.getMessage() == null ? e : e.getMessage()));
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
