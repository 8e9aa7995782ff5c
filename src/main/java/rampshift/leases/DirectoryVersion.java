package rampshift.leases;

/**
 * The version of an acceptor's directory, by which an older copy of the directory is recognised.
 *
 * @param startCount how often an acceptor has been started with the directory
 * @param recordCount how many records have been written to the directory
 */
record DirectoryVersion(long startCount, long recordCount) {
    static final DirectoryVersion NONE = new DirectoryVersion(0, 0);

    boolean isNewerThan(DirectoryVersion other) {
        return startCount > other.startCount
                || (startCount == other.startCount && recordCount > other.recordCount);
    }
}
