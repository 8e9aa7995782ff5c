package rampshift.testbed.experiment;

/** The exit codes of the fleet commands. For invalid input, {@code Commands} returns 2. */
final class ExitCode {
    /** The command succeeded, and no rule was broken. */
    static final int SUCCESS = 0;
    /** A rule was broken, or the command failed. */
    static final int FAILURE = 1;
    /** The runs are void, because the load generator sent too late; see {@link RunOutcome#isVoid()}. */
    static final int VOID = 3;

    private ExitCode() {}
}
