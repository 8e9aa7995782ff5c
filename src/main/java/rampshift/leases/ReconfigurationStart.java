package rampshift.leases;

/** The result of an operator's request for another acceptor set. */
public enum ReconfigurationStart {
    /** The reconfiguration has begun. */
    BEGUN(""),
    /** This dispatcher does not know the set in force. */
    ACCEPTORS_UNKNOWN("this dispatcher does not know the current keepers yet"),
    /** Another reconfiguration is in progress. */
    ALREADY_CHANGING("another change of the keepers is in progress"),
    /** The names are empty or contain a duplicate. */
    INVALID_NAMES("expected distinct dispatcher names, separated by commas");

    private final String reason;

    ReconfigurationStart(String reason) {
        this.reason = reason;
    }

    /** Returns why the reconfiguration has not begun, for operators. */
    public String reason() {
        return reason;
    }
}
