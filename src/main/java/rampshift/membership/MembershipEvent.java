package rampshift.membership;

/**
 * A change in the fleet that a member has observed.
 *
 * @param kind        the kind of the event
 * @param member      the name of the member that the event is about
 * @param incarnation the incarnation of that member
 * @param detail      a short text with details
 */
public record MembershipEvent(Kind kind, String member, long incarnation, String detail) {
    /** A kind of event. */
    public enum Kind {
        /** A new member joined, or a failed or restarted one returned. */
        JOINED("JOINED"),
        /** A member announced another phase or incarnation. */
        CHANGED("CHANGED"),
        /** This member or another one suspects a member that did not answer. */
        SUSPECTED("SUSPECTED"),
        /** A suspicion was refuted. */
        CLEARED("CLEARED"),
        /** A suspicion was not refuted in time. */
        FAILED("FAILED"),
        /** A member left gracefully. */
        ENDED("ENDED"),
        /** A member that failed or ended long ago was removed from the view. */
        FORGOTTEN("FORGOTTEN"),
        /** This member refuted a suspicion or failure of itself. */
        REFUTED("REFUTED"),
        /** This process stalled. */
        STALLED("STALLED"),
        /** Another process uses the name of this member. */
        NAME_CONFLICT("TWIN"),
        /** The {@link MembershipHealth} of this member changed. */
        HEALTH_CHANGED("STANDING");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** Returns the word for this kind in logs and, in lower case, in event logs. */
        public String label() {
            return label;
        }
    }

    /** Creates an event about the given member. */
    static MembershipEvent of(Kind kind, MemberIdentity member, String detail) {
        return new MembershipEvent(kind, member.name(), member.incarnation(), detail);
    }
}
