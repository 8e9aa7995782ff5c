package rampshift.leases;

/**
 * What a register holds: one lease.
 *
 * @param version rises by one with each change
 * @param token the fencing token: rises by one whenever it is taken, never falls
 * @param holder whose it is; empty for nobody's
 * @param life the holder's process; 0 for nobody's
 * @param stamp the number that the holder gave the change by which it holds it: it knows when it asked for
 * that
 * @param term how long it is the holder's, in microseconds from before it asked; nobody's: how long it is
 * kept for the
 *        one that is wanted, or for nobody
 * @param wanted who is to have it next; empty where nobody says
 * @param rest for how long nobody is to hold it once its holder has given it back, in microseconds
 * @param note how far the work under it has come
 */
public record LeaseRecord(long version, long token, String holder, long life, long stamp, long term,
        String wanted,
        long rest,
        String note) {

    /** Characters in a note at most: a value goes into one datagram. */
    public static final int NOTE = 600;
    static final LeaseRecord FREE = new LeaseRecord(0, 0, "", 0, 0, 0, "", 0, "");

    boolean free() {
        return holder.isEmpty();
    }

    boolean of(long process) {
        return life == process && !free();
    }
}
