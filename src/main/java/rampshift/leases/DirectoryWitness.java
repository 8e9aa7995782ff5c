package rampshift.leases;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * What an acceptor remembers of the directories of others: an older copy of a directory that was put back is
 * recognised by what a quorum of them has witnessed of it.
 */
final class DirectoryWitness {
    private static final String KEY_PREFIX = "w ";
    private static final int MAX_DIRECTORIES = 4096;
    /** How many records a directory may be ahead of what is stored of it here. */
    private static final int MAX_RECORDS_AHEAD = 64;
    private static final int HEXADECIMAL = 16;

    private final Acceptor.Output out;
    private final Map<Long, DirectoryVersion> witnessed = new HashMap<>();
    private final Map<Long, DirectoryVersion> stored = new HashMap<>();

    DirectoryWitness(Acceptor.Output out) {
        this.out = out;
    }

    /** Takes a stored record, if it is one of these. */
    void load(String key, byte[] bytes) {
        if (key.startsWith(KEY_PREFIX)) {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long directoryId = Long.parseUnsignedLong(key.substring(KEY_PREFIX.length()), HEXADECIMAL);
            DirectoryVersion version = new DirectoryVersion(buffer.getLong(), buffer.getLong());
            stored.put(directoryId, version);
            witnessed.put(directoryId, version);
        }
    }

    /** Notes how far a directory has come; id 0 is none. Returns what was known of it before. */
    DirectoryVersion witness(long directoryId, DirectoryVersion version) {
        DirectoryVersion known = witnessed.getOrDefault(directoryId, DirectoryVersion.NONE);
        boolean hasRoom = witnessed.size() < MAX_DIRECTORIES || witnessed.containsKey(directoryId);
        if (directoryId != 0 && version.isNewerThan(known) && hasRoom) {
            witnessed.put(directoryId, version);
            DirectoryVersion last = stored.getOrDefault(directoryId, DirectoryVersion.NONE);
            if (version.starts() > last.starts() || version.records() >= last.records() + MAX_RECORDS_AHEAD) {
                stored.put(directoryId, version);
                out.persist(KEY_PREFIX + Long.toHexString(directoryId),
                        Codec.encode(version.starts(), version.records()));
            }
        }
        return known;
    }
}
