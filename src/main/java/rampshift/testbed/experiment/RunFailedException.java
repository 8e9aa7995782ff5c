package rampshift.testbed.experiment;

import java.util.ArrayList;
import java.util.List;

/** A run that was requested correctly has failed: one of its processes ended, or did not become ready. */
public final class RunFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param lines what happened, and the last lines that the process printed
     */
    public RunFailedException(List<String> lines) {
        super(String.join("\n", lines));
    }

    /**
     * Creates the exception for a process that has ended, or that runs but was not ready in time.
     *
     * @param phase when it ended, for the message, as "under load"
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
