package rampshift.testbed.clients;

import java.util.Locale;

/**
 * The progress of a load process.
 *
 * @param sent attempts sent
 * @param finished attempts that finished
 * @param rejected attempts that were rejected
 * @param failed attempts with a server error, a lost connection or a timeout, or that could not be sent
 * @param earnedShare the share of the offered earnings that was earned, 0 to 1
 * @param lateShare the share of the attempts that were sent later than the plan allows, 0 to 1
 */
record LoadProgress(long sent, long finished, long rejected, long failed, double earnedShare,
        double lateShare) {
    /** Returns the progress line, which the parent process parses. */
    String toLine() {
        return String.format(Locale.ROOT, "progress %d %d %d %d %.4f %.4f", sent, finished, rejected, failed,
                earnedShare, lateShare);
    }
}
