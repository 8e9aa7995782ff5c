package rampshift;

/** Exit statuses of the command line; its help tells them to users. */
final class ExitStatus {
    static final int DONE = 0;
    /** A wrong command line, file, configuration or environment. */
    static final int INVALID_INPUT = 2;

    private ExitStatus() {}
}
