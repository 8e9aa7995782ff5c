package rampshift.membership;

/** Thrown when received bytes are not a message of this fleet. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean foreign;

    private MalformedMessageException(String message, boolean foreign) {
        // Without a stack trace, which would cost more than reading a bad datagram.
        super(message, null, false, false);
        this.foreign = foreign;
    }

    /** The bytes are no sound message. */
    static MalformedMessageException malformed(String message) {
        return new MalformedMessageException(message, false);
    }

    /** The message is sound, but of another fleet or another version of the format. */
    static MalformedMessageException foreign(String message) {
        return new MalformedMessageException(message, true);
    }

    /** Whether the message is sound, but of another fleet or another version of the format. */
    boolean isForeign() {
        return foreign;
    }
}
