package rampshift.leases.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** An exclusive lock on a directory, held until it is closed. */
final class DirectoryLock implements Closeable {
    private static final String FILE_NAME = "lock";

    private final FileChannel channel;

    /**
     * Acquires the lock.
     *
     * @throws IOException if it is held already, or the lock file cannot be opened
     */
    DirectoryLock(Path directory) throws IOException {
        channel = FileChannel.open(directory.resolve(FILE_NAME), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        try {
            if (lock(channel) == null) {
                throw new IOException(directory + ": another process uses this directory");
            }
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Releases the lock with its channel. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}
