package rampshift.leases.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * A directory that remembers records by key: one file, to which each change is added with a length, a number
 * that rises
 * by one and a checksum. What is torn at its end was never answered for, and is cut off; damage before the
 * end is told,
 * and nothing goes on. For one thread at a time.
 */
public final class RecordLog implements Closeable {
    private static final String FILE = "records";
    private static final String NEW = "records.new";
    private static final String LOCK = "lock";
    private static final byte[] HEAD = "RSHREC01".getBytes(StandardCharsets.US_ASCII);
    private static final int FRAME = 8;                     // length and checksum
    private static final int LEAST = 10;                    // number and key length
    private static final int MOST = 1 << 16;                // bytes of a record
    private static final long COMPACT_AT = 1 << 20;         // bytes in the file,
    private static final int COMPACT_TIMES = 4;             // and times what is still in force

    private final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final TreeMap<String, byte[]> all = new TreeMap<>();
    private FileChannel file;
    private ByteBuffer pending = ByteBuffer.allocate(MOST);
    private long position;
    private long size;
    private long live;
    private boolean broken;

    /**
     * Opens it, or makes it. Throws where another process has it, or where it is damaged; says what is to be
     * done.
     */
    public RecordLog(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        lockFile =
                FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = locked();
            Files.deleteIfExists(folder.resolve(NEW));
            Path path = folder.resolve(FILE);
            if (Files.exists(path)) {
                read(path);
            } else {
                compact();
            }
        } catch (IOException e) {
            lockFile.close();
            throw e;
        }
    }

    private FileLock locked() throws IOException {
        FileLock got;
        try {
            got = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            got = null;
        }
        if (got == null) {
            throw new IOException(folder + ": another process keeps its records there");
        }
        return got;
    }

    private void read(Path path) throws IOException {
        ByteBuffer b = ByteBuffer.wrap(Files.readAllBytes(path));
        byte[] head = new byte[HEAD.length];
        if (b.remaining() < HEAD.length
                || !java.util.Arrays.equals(HEAD, 0, HEAD.length, b.get(head).array(), 0, HEAD.length)) {
            throw new IOException(path + ": is no file of records, or of another version");
        }
        while (sound(b, b.position())) {
            take(b);
        }
        int end = b.position();
        if (end < b.limit()) {
            for (int at = end + 1; at < b.limit() - FRAME; at++) {
                if (sound(b, at)) {
                    throw new IOException(path + ": byte " + end
                            + ": a damaged record, and a sound one after it at byte " + at
                            + ": what this keeper promised is lost. Put its directory away, start it with an empty one,"
                            + " and take it in again: rampshift leases keepers NAME,NAME,...");
                }
            }
        }
        file = FileChannel.open(path, StandardOpenOption.WRITE);
        file.truncate(end);
        file.force(true);
        file.position(end);
        size = end;
    }

    /** Whether a record that comes next in number begins there. */
    private boolean sound(ByteBuffer b, int at) {
        if (b.limit() - at < FRAME + LEAST) {
            return false;
        }
        int length = b.getInt(at);
        if (length < LEAST || length > MOST || length > b.limit() - at - FRAME) {
            return false;
        }
        long number = b.getLong(at + FRAME);
        return (position == 0 || number > position) && sum(b.array(), at + FRAME, length) == b.getInt(at + 4);
    }

    private void take(ByteBuffer b) {
        int length = b.getInt();
        b.getInt();
        position = b.getLong();
        byte[] key = new byte[b.getShort()];
        b.get(key);
        byte[] value = new byte[length - LEAST - key.length];
        b.get(value);
        keep(new String(key, StandardCharsets.UTF_8), value);
    }

    private void keep(String key, byte[] value) {
        byte[] before = all.put(key, value);
        live += value.length - (before == null ? -FRAME - LEAST - key.length() : before.length);
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** All records, by key. */
    public Map<String, byte[]> all() {
        return new TreeMap<>(all);
    }

    /** How many records it has ever held. */
    public long position() {
        return position;
    }

    /** Adds one, in memory: it is on disk after {@link #sync}. */
    public void add(String key, byte[] value) throws IOException {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        int length = LEAST + name.length + value.length;
        if (length > MOST) {
            throw new IOException("a record of " + length + " bytes");
        }
        if (pending.remaining() < FRAME + length) {
            pending = ByteBuffer.allocate(pending.capacity() * 2).put(pending.flip());
        }
        int at = pending.position() + FRAME;
        pending.putInt(length).putInt(0).putLong(++position).putShort((short) name.length).put(name)
                .put(value);
        pending.putInt(at - 4, sum(pending.array(), at, length));
        keep(key, value);
    }

    /**
     * What was added is on disk when it returns. Once it has thrown nothing is known of the file's end: it
     * throws ever
     * after.
     */
    public void sync() throws IOException {
        if (broken) {
            throw new IOException(folder + ": was not written to its end before");
        }
        broken = true;
        pending.flip();
        while (pending.hasRemaining()) {
            size += file.write(pending);
        }
        pending.clear();
        file.force(false);
        if (size > COMPACT_AT && size > COMPACT_TIMES * live) {
            compact();
        }
        broken = false;
    }

    /** A new file of what is in force takes the old one's place, whole or not at all. */
    private void compact() throws IOException {
        Path path = folder.resolve(NEW);
        FileChannel old = file;
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        size = file.write(ByteBuffer.wrap(HEAD));
        for (Map.Entry<String, byte[]> one : new TreeMap<>(all).entrySet()) {
            add(one.getKey(), one.getValue());
        }
        pending.flip();
        while (pending.hasRemaining()) {
            size += file.write(pending);
        }
        pending.clear();
        file.force(true);
        Files.move(path, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder)) {
            directory.force(true);
        }
        if (old != null) {
            old.close();
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
        lock.release();
        lockFile.close();
    }
}
