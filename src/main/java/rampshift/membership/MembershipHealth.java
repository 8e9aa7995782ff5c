package rampshift.membership;

/** How a member stands in its fleet, judged by its own view alone. */
public enum MembershipHealth {
    /** No other member has answered yet. */
    JOINING("JOINING"),
    /** The process stood still or gets no processor time: its view may be out of date. */
    LATE("LATE"),
    /** Another process uses the same name. */
    NAME_CONFLICT("TWIN"),
    /** All known members answer. */
    COMPLETE("WHOLE"),
    /** Some members do not answer, more than half do. */
    MAJORITY("MISSING"),
    /** Half of the members or fewer answer. */
    MINORITY("MINOR"),
    /** Other members are known and none of them answers. */
    ISOLATED("ALONE");

    private final String label;

    MembershipHealth(String label) {
        this.label = label;
    }

    /** The word that stands for this health in logs, event logs and the output of the members command. */
    public String label() {
        return label;
    }

    /**
     * Whether the member may act on what needs the consent of the others. This is a hint: what needs proof
     * must not rest on it.
     */
    public boolean isInAgreement() {
        return this == COMPLETE || this == MAJORITY;
    }
}
