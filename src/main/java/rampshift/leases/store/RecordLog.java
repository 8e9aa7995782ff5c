package rampshift.leases.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.TreeMap;

/**
 * A directory that stores records by key, in one file to which each change is appended. A torn record at the
 * end was never acknowledged and is cut off. Damage before the end is an error: nothing may go on without a
 * record that was acknowledged. For one thread at a time.
 */
public final class RecordLog implements Closeable {
    private static final String FILE = "records";
    private static final String NEW_FILE = "records.new";
    /** A file is compacted once it is larger than this, */
    private static final long MIN_COMPACTION_BYTES = 1 << 20;
    /** and this many times larger than the records in force. */
    private static final int COMPACTION_FACTOR = 4;

    private final Path directory;
    private final DirectoryLock lock;
    private final TreeMap<String, byte[]> records = new TreeMap<>();
    private FileChannel file;
    private ByteBuffer pending = ByteBuffer.allocate(RecordFormat.MAX_BODY_BYTES);
    private long recordCount;
    private long fileBytes;
    private long liveBytes;
    private boolean broken;

    /**
     * Opens the directory, or creates it.
     *
     * @throws IOException if another process uses it or it is damaged; the message says what is to be done
     */
    public RecordLog(Path directory) throws IOException {
        this.directory = directory;
        Files.createDirectories(directory);
        lock = new DirectoryLock(directory);
        try {
            Files.deleteIfExists(directory.resolve(NEW_FILE));
            Path path = directory.resolve(FILE);
            if (Files.exists(path)) {
                load(path);
            } else {
                compact();
            }
        } catch (IOException e) {
            lock.close();
            throw e;
        }
    }

    private void load(Path path) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(path));
        if (!RecordFormat.readFileHeader(content)) {
            throw new IOException(path + ": is no file of records, or of another version");
        }
        while (RecordFormat.isFrameAt(content, content.position(), recordCount)) {
            RecordFormat.StoredRecord stored = RecordFormat.read(content);
            recordCount = stored.number();
            keep(stored.key(), stored.value());
        }
        int end = content.position();
        requireTornEnd(path, content, end);
        file = FileChannel.open(path, StandardOpenOption.WRITE);
        file.truncate(end);
        file.force(true);
        file.position(end);
        fileBytes = end;
    }

    /** An undamaged record after a damaged one shows that the damage is not a torn end. */
    private void requireTornEnd(Path path, ByteBuffer content, int end) throws IOException {
        for (int offset = end + 1; offset < content.limit() - RecordFormat.FRAME_HEADER_BYTES; offset++) {
            if (RecordFormat.isFrameAt(content, offset, recordCount)) {
                throw new IOException(path + ": byte " + end
                        + ": a damaged record, and a sound one after it at byte " + offset
                        + ": what this keeper promised is lost. Put its directory away, start it with an"
                        + " empty one, and take it in again: rampshift leases keepers NAME,NAME,...");
            }
        }
    }

    private void keep(String key, byte[] value) {
        byte[] before = records.put(key, value);
        if (before == null) {
            liveBytes += RecordFormat.FRAME_HEADER_BYTES + RecordFormat.MIN_BODY_BYTES + key.length()
                    + value.length;
        } else {
            liveBytes += value.length - before.length;
        }
    }

    /** A copy of all records by key. */
    public Map<String, byte[]> records() {
        return new TreeMap<>(records);
    }

    /** How many records the directory has ever held; the number of the last one. */
    public long recordCount() {
        return recordCount;
    }

    /**
     * Adds a record in memory. It is on disk after {@link #sync}.
     *
     * @throws IOException if the record is too long
     */
    public void add(String key, byte[] value) throws IOException {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        int length = RecordFormat.bodyBytes(keyBytes, value);
        if (length > RecordFormat.MAX_BODY_BYTES) {
            throw new IOException("a record of " + length + " bytes");
        }
        if (pending.remaining() < RecordFormat.FRAME_HEADER_BYTES + length) {
            pending = ByteBuffer.allocate(pending.capacity() * 2).put(pending.flip());
        }
        recordCount++;
        RecordFormat.write(pending, recordCount, keyBytes, value);
        keep(key, value);
    }

    /**
     * Returns once all records that were added are on disk.
     *
     * @throws IOException if the disk fails; from then on always, since nothing is known of the file's end
     */
    public void sync() throws IOException {
        if (broken) {
            throw new IOException(directory + ": was not written to its end before");
        }
        broken = true;
        writePending();
        file.force(false);
        if (fileBytes > MIN_COMPACTION_BYTES && fileBytes > COMPACTION_FACTOR * liveBytes) {
            compact();
        }
        broken = false;
    }

    private void writePending() throws IOException {
        pending.flip();
        while (pending.hasRemaining()) {
            fileBytes += file.write(pending);
        }
        pending.clear();
    }

    /** A new file of the records in force replaces the old one, wholly or not at all. */
    private void compact() throws IOException {
        Path path = directory.resolve(NEW_FILE);
        FileChannel old = file;
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        fileBytes = file.write(ByteBuffer.wrap(RecordFormat.fileHeader()));
        for (Map.Entry<String, byte[]> entry : new TreeMap<>(records).entrySet()) {
            add(entry.getKey(), entry.getValue());
        }
        writePending();
        file.force(true);
        Files.move(path, directory.resolve(FILE), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel parent = FileChannel.open(directory)) {
            parent.force(true);
        }
        if (old != null) {
            old.close();
        }
    }

    @Override
    public void close() throws IOException {
        try (lock) {
            file.close();
        }
    }
}
