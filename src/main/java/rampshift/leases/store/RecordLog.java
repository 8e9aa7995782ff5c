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
 * end was never acknowledged and is truncated. Damage before the end is an error, since an acknowledged
 * record would be lost. Not thread-safe.
 */
public final class RecordLog implements Closeable {
    private static final String FILE_NAME = "records";
    private static final String NEW_FILE_NAME = "records.new";
    /** Size that a file must exceed before it is compacted. */
    private static final long MIN_COMPACTION_BYTES = 1 << 20;
    /** Ratio of the file's size to that of the live records above which it is compacted. */
    private static final int COMPACTION_FACTOR = 4;

    private final Path directory;
    private final DirectoryLock lock;
    private final TreeMap<String, byte[]> records = new TreeMap<>();
    private FileChannel file;
    private ByteBuffer pending = ByteBuffer.allocate(RecordFormat.MAX_BODY_BYTES);
    private long recordCount;
    private long fileBytes;
    private long liveBytes;
    private boolean writeFailed;

    /**
     * Opens the directory, or creates it.
     *
     * @throws IOException if another process uses it or it is damaged; the message says how to recover
     */
    public RecordLog(Path directory) throws IOException {
        this.directory = directory;
        Files.createDirectories(directory);
        lock = new DirectoryLock(directory);
        try {
            Files.deleteIfExists(directory.resolve(NEW_FILE_NAME));
            Path path = directory.resolve(FILE_NAME);
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
            throw new IOException(path + ": not a record file, or of an unsupported version");
        }
        while (RecordFormat.isFrameAt(content, content.position(), recordCount)) {
            RecordFormat.StoredRecord stored = RecordFormat.read(content);
            recordCount = stored.number();
            putRecord(stored.key(), stored.value());
        }
        int end = content.position();
        requireTornEnd(path, content, end);
        file = FileChannel.open(path, StandardOpenOption.WRITE);
        file.truncate(end);
        file.force(true);
        file.position(end);
        fileBytes = end;
    }

    /** Throws if an undamaged record follows after the end: then the damage there is not a torn end. */
    private void requireTornEnd(Path path, ByteBuffer content, int end) throws IOException {
        for (int offset = end + 1; offset < content.limit() - RecordFormat.FRAME_HEADER_BYTES; offset++) {
            if (RecordFormat.isFrameAt(content, offset, recordCount)) {
                throw new IOException(path + ": byte " + end
                        + ": a damaged record is followed by an undamaged one at byte " + offset
                        + ": promises of this acceptor (keeper) are lost. Move its directory away, start it"
                        + " with an empty one, and add it again: rampshift leases keepers NAME,NAME,...");
            }
        }
    }

    private void putRecord(String key, byte[] value) {
        byte[] previous = records.put(key, value);
        if (previous == null) {
            liveBytes += RecordFormat.FRAME_HEADER_BYTES + RecordFormat.MIN_BODY_BYTES + key.length()
                    + value.length;
        } else {
            liveBytes += value.length - previous.length;
        }
    }

    /** Returns a copy of all records by key. */
    public Map<String, byte[]> records() {
        return new TreeMap<>(records);
    }

    /** Returns how many records have ever been written; also the number of the last one. */
    public long recordCount() {
        return recordCount;
    }

    /**
     * Buffers a record, which {@link #sync} writes to disk.
     *
     * @throws IOException if the record is too long
     */
    public void add(String key, byte[] value) throws IOException {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        int length = RecordFormat.bodyBytes(keyBytes, value);
        if (length > RecordFormat.MAX_BODY_BYTES) {
            throw new IOException("record of " + length + " bytes exceeds the maximum size");
        }
        if (pending.remaining() < RecordFormat.FRAME_HEADER_BYTES + length) {
            pending = ByteBuffer.allocate(pending.capacity() * 2).put(pending.flip());
        }
        recordCount++;
        RecordFormat.write(pending, recordCount, keyBytes, value);
        putRecord(key, value);
    }

    /**
     * Writes all added records and returns once they are on disk.
     *
     * @throws IOException if the disk fails; all later calls fail too, since the end of the file is unknown
     */
    public void sync() throws IOException {
        if (writeFailed) {
            throw new IOException(directory + ": an earlier write failed");
        }
        writeFailed = true;
        writePending();
        file.force(false);
        if (fileBytes > MIN_COMPACTION_BYTES && fileBytes > COMPACTION_FACTOR * liveBytes) {
            compact();
        }
        writeFailed = false;
    }

    private void writePending() throws IOException {
        pending.flip();
        while (pending.hasRemaining()) {
            fileBytes += file.write(pending);
        }
        pending.clear();
    }

    /** Atomically replaces the file by a new one that contains only the live records. */
    private void compact() throws IOException {
        Path path = directory.resolve(NEW_FILE_NAME);
        FileChannel old = file;
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        fileBytes = file.write(ByteBuffer.wrap(RecordFormat.fileHeader()));
        for (Map.Entry<String, byte[]> entry : new TreeMap<>(records).entrySet()) {
            add(entry.getKey(), entry.getValue());
        }
        writePending();
        file.force(true);
        Files.move(path, directory.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE,
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
