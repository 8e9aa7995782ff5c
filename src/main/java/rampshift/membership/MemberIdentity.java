package rampshift.membership;

/**
 * What a dispatcher says of itself.
 *
 * @param name        the name of the member, unique in its fleet
 * @param incarnation rises whenever the member has something new to say of itself, across restarts too
 * @param processId   a random number drawn at each start of a process; tells two processes of one name apart
 * @param address     address and port where the other members reach it
 * @param site        where the member runs
 * @param build       the version of its software
 * @param startedAtMs start time by its own clock, Unix time in milliseconds; shown to people, never used in
 *                    decisions
 * @param phase       how far the process is in its life cycle
 */
public record MemberIdentity(String name, long incarnation, long processId, String address, String site,
        String build, long startedAtMs, Phase phase) {

    /** The highest incarnation that is accepted: the owner of a higher one could not overrule it. */
    public static final long MAX_INCARNATION = 1L << 62;

    /** How far the process of a member is in its life cycle. */
    public enum Phase implements WireCoded {
        /** Started, not warmed up yet. */
        JOINING(0),
        /** Serves tasks. */
        SERVING(1),
        /** Shuts down gracefully. */
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

    /** The same member with another incarnation. */
    MemberIdentity withIncarnation(long newIncarnation) {
        return new MemberIdentity(name, newIncarnation, processId, address, site, build, startedAtMs, phase);
    }

    /** The same member in another phase and with another incarnation. */
    MemberIdentity withPhase(Phase newPhase, long newIncarnation) {
        return new MemberIdentity(name, newIncarnation, processId, address, site, build, startedAtMs,
                newPhase);
    }
}
