package rampshift.testbed.clients;

import java.util.Locale;

/**
 * How far a load process has come.
 *
 * @param sent attempts sent
 * @param finished attempts that finished
 * @param rejected attempts that were rejected
 * @param failed attempts that failed, timed out, or could not be sent
 * @param earnedShare the share of the offered earnings that was earned, 0 to 1
 * @param lateShare the share of the attempts that were sent later than allowed, 0 to 1
 */
record LoadProgress(long sent, long finished, long rejected, long failed, double earnedShare,
        double lateShare) {
    /** The line that the process which started this one reads. */
    String toLine() {
        return String.format(Locale.ROOT, "progress %d %d %d %d %.4f %.4f", sent, finished, rejected, failed,
                earnedShare, lateShare);
    }
}
