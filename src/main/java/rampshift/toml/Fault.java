package rampshift.toml;

import java.util.List;

/** Input that can't be used, or a run that failed: one plain line for each thing that is wrong. */
public final class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    private Fault(int status, List<String> lines) {
        super(String.join("\n", lines));
        this.status = status;
    }

    /** Wrong input: exit status 2. */
    public Fault(List<String> lines) {
        this(2, lines);
    }

    public Fault(String line) {
        this(List.of(line));
    }

    /** What was asked for was sound, but did not come off: exit status 1. */
    public static Fault ofRun(List<String> lines) {
        return new Fault(1, lines);
    }

    public int status() {
        return status;
    }
}
