package rampshift.toml;

import java.util.List;

/** Input that can't be used, or a run that failed: one plain line for each thing that is wrong. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    private ConfigurationException(int status, List<String> lines) {
        super(String.join("\n", lines));
        this.status = status;
    }

    /** Wrong input: exit status 2. */
    public ConfigurationException(List<String> lines) {
        this(2, lines);
    }

    public ConfigurationException(String line) {
        this(List.of(line));
    }

    /** What was asked for was sound, but did not come off: exit status 1. */
    public static ConfigurationException ofRun(List<String> lines) {
        return new ConfigurationException(1, lines);
    }

    public int status() {
        return status;
    }
}
