package rampshift.membership;

/** What came is no message of this fleet. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    /** It is sound, but of another fleet or another version of the format. */
    final boolean foreign;

    MalformedMessageException(String what, boolean foreign) {
        super(what, null, false, false);
        this.foreign = foreign;
    }
}
