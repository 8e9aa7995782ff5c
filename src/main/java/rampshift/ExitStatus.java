package rampshift;

/** Exit statuses of the command line, as documented in its help. */
final class ExitStatus {
    static final int DONE = 0;
    /** The dispatcher cannot go on. */
    static final int FAILED = 1;
    /** The command line, a file, the configuration or the environment is invalid. */
    static final int INVALID_INPUT = 2;

    private ExitStatus() {}
}
