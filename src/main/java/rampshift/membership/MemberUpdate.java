package rampshift.membership;

/**
 * A statement about the status of one member, spread by gossip.
 *
 * @param member     the member that the statement is about
 * @param status     the claimed status
 * @param reportedBy the name of the member that claimed the status first
 * @param ageMs      how long a member has been failed or ended, in milliseconds; 0 for the other statuses
 */
public record MemberUpdate(MemberIdentity member, Status status, String reportedBy, long ageMs) {
    /** The status of a member. At the same incarnation a later constant overrules an earlier one. */
    public enum Status implements WireCoded {
        /** The member answers. */
        ALIVE(0),
        /** The member did not answer a probe and may refute the suspicion. */
        SUSPECT(1),
        /** The suspicion was not refuted in time. */
        FAILED(2),
        /** The member left the fleet gracefully. */
        ENDED(3);

        private final byte wireCode;

        Status(int wireCode) {
            this.wireCode = (byte) wireCode;
        }

        @Override
        public byte wireCode() {
            return wireCode;
        }

        /** Returns whether the member counts as reachable: alive or suspect. */
        public boolean isReachable() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Creates a statement with age 0. */
    static MemberUpdate of(MemberIdentity member, Status status, String reportedBy) {
        return new MemberUpdate(member, status, reportedBy, 0);
    }

    /**
     * Returns whether this statement overrules the other one about the same name: by a higher incarnation,
     * else by a higher process id, else by a later status constant. The order is total, so merging computes a
     * maximum, and updates may arrive late, repeatedly or in any order.
     */
    boolean supersedes(MemberUpdate other) {
        if (member.incarnation() != other.member.incarnation()) {
            return member.incarnation() > other.member.incarnation();
        }
        if (member.processId() != other.member.processId()) {
            return member.processId() > other.member.processId();
        }
        return status.compareTo(other.status) > 0;
    }
}
