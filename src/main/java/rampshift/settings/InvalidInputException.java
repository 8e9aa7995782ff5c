package rampshift.settings;

/** Input that the wire does not allow. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidInputException(String what) {
        super(what);
    }
}
