package rampshift.leases;

/**
 * The version of an acceptor's directory, by which an older copy of the directory is recognised.
 *
 * @param starts how often an acceptor has been started with the directory
 * @param records how many records have been written to the directory
 */
record DirectoryVersion(long starts, long records) {
    static final DirectoryVersion NONE = new DirectoryVersion(0, 0);

    boolean isNewerThan(DirectoryVersion other) {
        return starts > other.starts || (starts == other.starts && records > other.records);
    }
}
