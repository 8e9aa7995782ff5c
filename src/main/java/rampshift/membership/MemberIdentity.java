package rampshift.membership;

/**
 * The description that a dispatcher announces of itself.
 *
 * @param name        the name of the member, unique in its fleet
 * @param incarnation a number that increases whenever the member changes its description or refutes a claim,
 *                    also across restarts
 * @param processId   a random number drawn at each start of a process; distinguishes processes of one name
 * @param address     address and port where the other members reach it
 * @param site        where the member runs
 * @param build       the version of its software
 * @param startedAtMs start time by its own clock, Unix time in milliseconds; for display only
 * @param phase       the phase of its life cycle
 */
public record MemberIdentity(String name, long incarnation, long processId, String address, String site,
        String build, long startedAtMs, Phase phase) {

    /** The highest accepted incarnation: the member could not overrule a claim with a higher one. */
    public static final long MAX_INCARNATION = 1L << 62;

    /** A phase in the life cycle of a member's process. */
    public enum Phase implements WireCoded {
        /** Started, not warmed up yet. */
        JOINING(0),
        /** Serving tasks. */
        SERVING(1),
        /** Shutting down gracefully. */
        STOPPING(2);

        private final byte wireCode;

        Phase(int wireCode) {
            this.wireCode = (byte) wireCode;
        }

        @Override
        public byte wireCode() {
            return wireCode;
        }
    }

    /** Returns the same member with another incarnation. */
    MemberIdentity withIncarnation(long newIncarnation) {
        return new MemberIdentity(name, newIncarnation, processId, address, site, build, startedAtMs, phase);
    }

    /** Returns the same member in another phase and with another incarnation. */
    MemberIdentity withPhase(Phase newPhase, long newIncarnation) {
        return new MemberIdentity(name, newIncarnation, processId, address, site, build, startedAtMs,
                newPhase);
    }
}
