package rampshift.membership;

/**
 * A notice between dispatchers that a worker accepts no new tasks.
 *
 * @param worker      the id of the worker
 * @param startedAtMs when the worker's process started, Unix time in milliseconds as in the endpoint list; 0
 *                    if unknown
 * @param listVersion the version of the endpoint list that the notice was taken from
 * @param kind        the change of the worker in that list
 */
public record DrainNotice(String worker, long startedAtMs, long listVersion, Kind kind) {
    /** The change of a worker. At the same start time and list version, a later constant supersedes. */
    public enum Kind implements WireCoded {
        /** The worker drains: it finishes its tasks and accepts no new ones. */
        DRAINING(0, "DRAINS"),
        /** The worker was removed from the list. */
        REMOVED(1, "GONE");

        private final byte wireCode;
        private final String label;

        Kind(int wireCode, String label) {
            this.wireCode = (byte) wireCode;
            this.label = label;
        }

        @Override
        public byte wireCode() {
            return wireCode;
        }

        /** Returns the word for this kind in logs and event logs. */
        public String label() {
            return label;
        }
    }

    /** Returns whether this notice has a later start time, else list version, else kind constant. */
    boolean supersedes(DrainNotice other) {
        if (startedAtMs != other.startedAtMs) {
            return startedAtMs > other.startedAtMs;
        }
        if (listVersion != other.listVersion) {
            return listVersion > other.listVersion;
        }
        return kind.compareTo(other.kind) > 0;
    }

    /**
     * Returns whether the notice overrides a list of version {@code ownVersion} in which the worker is ready
     * and has the start time {@code ownStartedAtMs}.
     */
    public boolean overrides(long ownStartedAtMs, long ownVersion) {
        return startedAtMs >= ownStartedAtMs && listVersion > ownVersion;
    }
}
