package rampshift.membership;

/**
 * A notice, passed between dispatchers, that a worker takes no new tasks.
 *
 * @param worker      the id of the worker
 * @param startedAtMs when the worker's process started, Unix time in milliseconds as in the endpoint list; 0
 *                    if unknown
 * @param listVersion the version of the endpoint list that the notice was taken from
 * @param kind        what the list said of the worker
 */
public record DrainNotice(String worker, long startedAtMs, long listVersion, Kind kind) {
    /** What has happened to the worker. At the same start time and list version the later constant wins. */
    public enum Kind implements WireCoded {
        /** The worker drains: it finishes what it has and takes nothing new. */
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

        /** The word that stands for this kind in logs and event logs. */
        public String label() {
            return label;
        }
    }

    /** Whether this notice is newer: by a later start time, else by a later list, else by the graver kind. */
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
     * Whether the notice overrides a list of version {@code ownVersion} that calls the worker ready since
     * {@code ownStartedAtMs}.
     */
    public boolean overrides(long ownStartedAtMs, long ownVersion) {
        return startedAtMs >= ownStartedAtMs && listVersion > ownVersion;
    }
}
