package rampshift.testbed.verification;

/** Thrown when a line of an event log is malformed. The message contains the line. */
public final class MalformedLineException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    MalformedLineException(String line) {
        super("malformed event log line: " + line);
    }

    MalformedLineException(String line, Throwable cause) {
        super("malformed event log line: " + line, cause);
    }
}
