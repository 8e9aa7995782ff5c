package rampshift.membership;

/** The state of the membership of one dispatcher in its fleet, derived from its own view only. */
public enum MembershipHealth {
    /** No sync has been answered yet, and no other member is reachable. */
    JOINING("JOINING"),
    /** This process stalled and no member has answered it since: its view may be out of date. */
    LATE("LATE"),
    /** Another process uses the same name. */
    NAME_CONFLICT("TWIN"),
    /** All known members are reachable. */
    COMPLETE("WHOLE"),
    /** More than half of the known members are reachable, but not all. */
    MAJORITY("MISSING"),
    /** Half of the known members or fewer are reachable. */
    MINORITY("MINOR"),
    /** Other members are known and none of them is reachable. */
    ISOLATED("ALONE");

    private final String label;

    MembershipHealth(String label) {
        this.label = label;
    }

    /** Returns the word for this state in logs, event logs and the output of the members command. */
    public String label() {
        return label;
    }

    /**
     * Returns whether this member reaches more than half of the known members, so that it may do what needs
     * their agreement. This is a hint: operations that need a proof of agreement must not rely on it.
     */
    public boolean isInAgreement() {
        return this == COMPLETE || this == MAJORITY;
    }
}
