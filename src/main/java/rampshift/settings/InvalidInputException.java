package rampshift.settings;

/**
 * Input that does not have the form which a wire protocol, an endpoint list or a configuration prescribes.
 */
public class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message says in one line what is wrong. */
    public InvalidInputException(String message) {
        super(message);
    }
}
