package rampshift.leases;

/**
 * The value of a register: the state of one lease.
 *
 * @param version rises by one with each change
 * @param token the fencing token: rises by one with each acquisition and never falls
 * @param holder name of the dispatcher that holds the lease; empty while nobody holds it
 * @param processId the holder's process; 0 while nobody holds the lease
 * @param stamp number that the holder gave to the change by which it holds the lease, so that it knows when
 *         it requested that change
 * @param termMicros how long the lease belongs to its holder, in microseconds from before the request; while
 *         nobody holds it, how long it is reserved for {@code nextHolder}, or for nobody if that is empty
 * @param nextHolder the dispatcher that is to hold the lease next; empty for no preference
 * @param blockMicros how long nobody may hold the lease after its holder has released it, in microseconds
 * @param note progress of the work that is done under the lease
 */
public record LeaseRecord(long version, long token, String holder, long processId, long stamp,
        long termMicros, String nextHolder, long blockMicros, String note) {

    /** Longest note in characters: a record has to fit into one datagram. */
    public static final int MAX_NOTE_LENGTH = 600;
    /** The value of a register that was never written. */
    static final LeaseRecord INITIAL = new LeaseRecord(0, 0, "", 0, 0, 0, "", 0, "");

    boolean isFree() {
        return holder.isEmpty();
    }

    boolean isHeldBy(long process) {
        return processId == process && !isFree();
    }
}
