package rampshift.leases;

/**
 * The value of a register: the state of one lease.
 *
 * @param version increases by one with each change
 * @param token the fencing token; increases by one with each acquisition and never decreases
 * @param holder name of the dispatcher that holds the lease; empty while the lease is free
 * @param processId the holder's process; 0 while the lease is free
 * @param changeNumber number of the last acquisition, renewal or release, by which the process that requested
 *         that change recognises it as made
 * @param termMicros how long the lease belongs to its holder, in microseconds from before the request; for a
 *         free lease, how long it is reserved for {@code nextHolder}, or unavailable to all if that is empty
 * @param nextHolder the dispatcher that is to hold the lease next; empty for no preference
 * @param blockMicros how long the lease stays unavailable to all after its holder releases it, in
 *         microseconds
 * @param note progress of the work that is done under the lease
 */
public record LeaseRecord(long version, long token, String holder, long processId, long changeNumber,
        long termMicros, String nextHolder, long blockMicros, String note) {

    /** Maximum length of a note in characters, so that a record fits into one datagram. */
    public static final int MAX_NOTE_LENGTH = 600;
    /** The value of a register that has never been written. */
    static final LeaseRecord INITIAL = new LeaseRecord(0, 0, "", 0, 0, 0, "", 0, "");

    boolean isFree() {
        return holder.isEmpty();
    }

    boolean isHeldBy(long process) {
        return processId == process && !isFree();
    }
}
