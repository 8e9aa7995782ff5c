package rampshift.settings;

/** Thrown for input that violates the format of a wire protocol, an endpoint list or a configuration. */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message of one line that describes the fault. */
    public InvalidInputException(String message) {
        super(message);
    }
}
