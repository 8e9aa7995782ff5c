package rampshift.membership;

/** How a member stands in its fleet, from what it knows alone. */
public enum MembershipHealth {
    /** It has not heard from any other yet. */
    JOINING,
    /** It stood still or gets no processor time: what it believes may be old. */
    LATE,
    /** Another process goes by its name. */
    TWIN,
    /** All that it knows of answer. */
    WHOLE,
    /** More than half answer. */
    MISSING,
    /** Half or fewer answer. */
    MINOR,
    /** Nobody else answers, and there were others. */
    ALONE;

    /** Whether it may act on what needs the others' consent. */
    public boolean inAgreement() {
        return this == WHOLE || this == MISSING;
    }
}
