package rampshift.membership;

/**
 * That a worker takes nothing new: news that binds, passed from dispatcher to dispatcher. Boot: when that
 * worker's
 * process started, Unix time in milliseconds as the list says, 0 for long ago. Version: of the list that told
 * it.
 */
public record DrainNotice(String worker, long bootMs, long version, Kind kind) {
    /** The later overrules at the same start and version. */
    public enum Kind { DRAINS, GONE }

    /** Old news never overrules newer: a later start, else a later list, else the graver word. */
    boolean over(DrainNotice other) {
        return bootMs != other.bootMs ? bootMs > other.bootMs
                : version != other.version ? version > other.version : kind.compareTo(other.kind) > 0;
    }

    /** Whether it binds what a list of that version says to be ready since that start. */
    public boolean binds(long listedBootMs, long listedVersion) {
        return bootMs >= listedBootMs && version > listedVersion;
    }
}
