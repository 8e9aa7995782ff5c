package rampshift.eventlog;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import rampshift.time.Moment;

/**
 * The event log of one process, with one line per event: {@code micros word field ...}. A separate thread
 * writes the file, so that a slow disk does not delay the process, which would look like a slow worker or
 * client. Fields must not contain spaces; an empty field is written as a dash.
 */
public final class EventLog implements Closeable {
    private static final int MAX_BUFFERED_CHARS = 64 << 20;
    private static final int MAX_BUFFERED_CHARS_IF_LOSSY = 1 << 20;
    private static final int INITIAL_BUFFER_CHARS = 1 << 16;
    private static final long WRITE_INTERVAL_MS = 100;

    private final boolean lossy;
    private final OutputStream out;
    private final Thread writer;
    private StringBuilder buffer = new StringBuilder(INITIAL_BUFFER_CHARS);
    private volatile IOException failure;
    private boolean closed;

    /** Creates a new file without loss of lines: {@link #append} throws once the disk is too far behind. */
    public EventLog(Path file) throws IOException {
        this(file, false);
    }

    /**
     * Opens the file.
     *
     * @param lossy whether to append to the existing content and to omit lines while the disk is too far
     *         behind or after it has failed
     */
    public EventLog(Path file, boolean lossy) throws IOException {
        this.lossy = lossy;
        out = lossy ? Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
                : Files.newOutputStream(file);
        writer = new Thread(this::writeUntilClosed, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds an event without waiting for the disk. Does nothing after {@link #close}. */
    public synchronized void append(Moment when, String word, Object... fields) {
        if (closed) {
            return;
        }
        if (lossy && (buffer.length() > MAX_BUFFERED_CHARS_IF_LOSSY || failure != null)) {
            return;
        }
        if (buffer.length() > MAX_BUFFERED_CHARS) {
            throw new IllegalStateException("the disk does not keep up with the event log");
        }
        buffer.append(when.micros()).append(' ').append(word);
        for (Object field : fields) {
            String text = String.valueOf(field);
            buffer.append(' ').append(text.isEmpty() ? "-" : text);
        }
        buffer.append('\n');
    }

    private void writeUntilClosed() {
        try {
            boolean isLast = false;
            while (!isLast) {
                StringBuilder lines;
                synchronized (this) {
                    if (!closed) {
                        wait(WRITE_INTERVAL_MS);
                    }
                    isLast = closed;
                    lines = buffer;
                    buffer = new StringBuilder(INITIAL_BUFFER_CHARS);
                }
                out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns once all lines are written; throws the exception by which writing failed, if any. */
    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        out.close();
        if (failure != null) {
            throw failure;
        }
    }
}
