package rampshift.testbed.experiment;

import java.util.ArrayList;
import java.util.List;

/** Thrown if a run with valid input fails because a process of it ended or did not become ready. */
public final class RunFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param lines the lines of the message, with the last lines of the process's output
     */
    public RunFailedException(List<String> lines) {
        super(String.join("\n", lines));
    }

    /**
     * Creates the exception for a process that has ended, or that is alive but was not ready in time.
     *
     * @param phase when the process ended, for the message; for example, "under load"
     */
    static RunFailedException of(ChildProcess process, String phase) {
        String cause = process.isAlive() ? " was not ready in time"
                : " ended " + phase + ", status " + process.exitStatus();
        List<String> lines = new ArrayList<>();
        lines.add(process.name() + cause + "; its last lines:");
        process.finalOutput().forEach(line -> lines.add("  " + line));
        return new RunFailedException(lines);
    }
}
