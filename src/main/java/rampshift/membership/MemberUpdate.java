package rampshift.membership;

/**
 * A statement about the status of one member, spread by gossip.
 *
 * @param member     the member that it is about
 * @param status     the status that is claimed
 * @param reportedBy the name of the member that claimed it first
 * @param ageMs      for how long a member has been failed or ended, in milliseconds; 0 for the other statuses
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
        /** The member left the fleet in order. */
        ENDED(3);

        private final byte wireCode;

        Status(int wireCode) {
            this.wireCode = (byte) wireCode;
        }

        @Override
        public byte wireCode() {
            return wireCode;
        }

        /** Whether the member is taken to be reachable: alive or suspect. */
        public boolean isReachable() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** A statement that has no age. */
    static MemberUpdate of(MemberIdentity member, Status status, String reportedBy) {
        return new MemberUpdate(member, status, reportedBy, 0);
    }

    /**
     * Whether this statement overrules the other one on the same name: by a higher incarnation, else by a
     * higher process id, else by a graver status. The order is total, so merging is a maximum and updates may
     * arrive late, repeated or in any order.
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
