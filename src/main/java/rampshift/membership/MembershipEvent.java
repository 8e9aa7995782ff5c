package rampshift.membership;

/**
 * Something that a member has learnt about the fleet.
 *
 * @param kind        what happened
 * @param member      the name of the member that it happened to
 * @param incarnation the incarnation of that member
 * @param detail      a short text with more
 */
public record MembershipEvent(Kind kind, String member, long incarnation, String detail) {
    /** What happened. */
    public enum Kind {
        /** A new member, or one that is back. */
        JOINED("JOINED"),
        /** A member says something else of itself. */
        CHANGED("CHANGED"),
        /** A member did not answer. */
        SUSPECTED("SUSPECTED"),
        /** A suspicion was refuted. */
        CLEARED("CLEARED"),
        /** A suspicion was not refuted in time. */
        FAILED("FAILED"),
        /** A member left in order. */
        ENDED("ENDED"),
        /** A member that had failed or ended was dropped from the view. */
        FORGOTTEN("FORGOTTEN"),
        /** This member refuted a suspicion of itself. */
        REFUTED("REFUTED"),
        /** This process stood still. */
        STALLED("STALLED"),
        /** Another process uses the name of this member. */
        NAME_CONFLICT("TWIN"),
        /** The {@link MembershipHealth} of this member changed. */
        HEALTH_CHANGED("STANDING");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** The word that stands for this kind in logs and, in lower case, in event logs. */
        public String label() {
            return label;
        }
    }

    /** An event of the given member. */
    static MembershipEvent of(Kind kind, MemberIdentity member, String detail) {
        return new MembershipEvent(kind, member.name(), member.incarnation(), detail);
    }
}
