package rampshift.leases;

/** What came of an operator's request for another acceptor set. */
public enum ReconfigurationStart {
    /** It has begun. */
    BEGUN(""),
    /** The set in force is not known here. */
    ACCEPTORS_UNKNOWN("the keepers are not known here yet"),
    /** Another reconfiguration has not ended. */
    ALREADY_CHANGING("the keepers are being changed already"),
    /** The names are no set. */
    INVALID_NAMES("expected different names, separated by commas");

    private final String reason;

    ReconfigurationStart(String reason) {
        this.reason = reason;
    }

    /** Why it has not begun, for operators. */
    public String reason() {
        return reason;
    }
}
