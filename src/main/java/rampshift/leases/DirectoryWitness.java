package rampshift.leases;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * The versions of other acceptors' directories that an acceptor has witnessed. A directory that was restored
 * from an older copy is recognised, since a quorum has witnessed a newer version of it.
 */
final class DirectoryWitness {
    private static final String KEY_PREFIX = "w ";
    private static final int MAX_DIRECTORIES = 4096;
    /**
     * Number of records by which a witnessed version may be ahead of the stored one; fewer are not written.
     */
    private static final int MAX_RECORDS_AHEAD = 64;
    private static final int HEXADECIMAL = 16;

    private final Acceptor.Output out;
    private final Map<Long, DirectoryVersion> witnessed = new HashMap<>();
    private final Map<Long, DirectoryVersion> stored = new HashMap<>();

    DirectoryWitness(Acceptor.Output out) {
        this.out = out;
    }

    /** Loads a stored record if it is a witnessed version. */
    void load(String key, byte[] bytes) {
        if (key.startsWith(KEY_PREFIX)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long directoryId = Long.parseUnsignedLong(key.substring(KEY_PREFIX.length()), HEXADECIMAL);
            DirectoryVersion version = new DirectoryVersion(buffer.getLong(), buffer.getLong());
            stored.put(directoryId, version);
            witnessed.put(directoryId, version);
        }
    }

    /** Records the version of a directory, unless its id is 0. Returns the version known before. */
    DirectoryVersion witness(long directoryId, DirectoryVersion version) {
        DirectoryVersion known = witnessed.getOrDefault(directoryId, DirectoryVersion.NONE);
        boolean hasCapacity = witnessed.size() < MAX_DIRECTORIES || witnessed.containsKey(directoryId);
        if (directoryId != 0 && version.isNewerThan(known) && hasCapacity) {
            witnessed.put(directoryId, version);
            DirectoryVersion last = stored.getOrDefault(directoryId, DirectoryVersion.NONE);
            if (version.startCount() > last.startCount()
                    || version.recordCount() >= last.recordCount() + MAX_RECORDS_AHEAD) {
                stored.put(directoryId, version);
                out.persist(KEY_PREFIX + Long.toHexString(directoryId),
                        Codec.encode(version.startCount(), version.recordCount()));
            }
        }
        return known;
    }
}
