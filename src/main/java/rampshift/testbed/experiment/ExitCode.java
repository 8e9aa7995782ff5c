package rampshift.testbed.experiment;

/** The exit codes of the fleet's commands. Invalid input has code 2, which {@code Commands} returns. */
final class ExitCode {
    /** The command did what it was asked for, and no rule was broken. */
    static final int SUCCESS = 0;
    /** A rule was broken, or a load process was not started. */
    static final int FAILURE = 1;
    /** The runs are void, because the load generator was too late; see {@link RunOutcome#isVoid()}. */
    static final int VOID = 3;

    private ExitCode() {}
}
