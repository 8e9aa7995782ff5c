package rampshift.testbed.verification;

/** A line is not one of an event log. The message names the line. */
public final class MalformedLineException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedLineException(String line) {
        super("not a ledger's line: " + line);
    }

    MalformedLineException(String line, Throwable cause) {
        super("not a ledger's line: " + line, cause);
    }
}
