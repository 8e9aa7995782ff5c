package rampshift.membership;

/** Thrown when received bytes are not a message of this fleet and format version. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean foreign;

    private MalformedMessageException(String message, boolean foreign) {
        // No stack trace: filling it in would cost more than reading a malformed datagram.
        super(message, null, false, false);
        this.foreign = foreign;
    }

    /** Returns an exception for bytes that are not a valid message. */
    static MalformedMessageException malformed(String message) {
        return new MalformedMessageException(message, false);
    }

    /** Returns an exception for a valid message of another fleet or another version of the format. */
    static MalformedMessageException foreign(String message) {
        return new MalformedMessageException(message, true);
    }

    /** Returns whether the message is valid, but of another fleet or another version of the format. */
    boolean isForeign() {
        return foreign;
    }
}
