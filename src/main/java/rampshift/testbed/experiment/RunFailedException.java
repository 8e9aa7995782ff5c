package rampshift.testbed.experiment;

import java.util.List;

/** A run that was asked for in the right form and failed: a process of it died, or never became ready. */
public final class RunFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The lines say what happened and show the end of the process's log. */
    public RunFailedException(List<String> lines) {
        super(String.join("\n", lines));
    }
}
