package rampshift.leases;

/**
 * How far an acceptor's directory has come. An older copy of a directory is recognised by it.
 *
 * @param starts how often it has been started
 * @param records how many records it has held
 */
record DirectoryVersion(long starts, long records) {
    static final DirectoryVersion NONE = new DirectoryVersion(0, 0);

    boolean isNewerThan(DirectoryVersion other) {
        return starts > other.starts || (starts == other.starts && records > other.records);
    }
}
