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
 * What one process saw, one line an event: {@code micros word field ...}. A thread of its own writes, so
 * that a slow disk never shows up as a slow worker or client. Fields hold no blanks; an empty one is a dash.
 */
public final class EventLog implements Closeable {
    private static final int MOST_WAITING = 64 << 20;
    private static final int MOST_KEPT = 1 << 20;
    private static final long EVERY_MS = 100;

    private final boolean kept;
    private final OutputStream out;
    private final Thread writer;
    private StringBuilder lines = new StringBuilder(1 << 16);
    private volatile IOException broken;
    private boolean closed;

    public EventLog(Path file) throws IOException {
        this(file, false);
    }

    /** One that is to be kept may go on where it ended; it leaves lines out rather than wait for its disk. */
    public EventLog(Path file, boolean kept) throws IOException {
        this.kept = kept;
        out = kept ? Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
                : Files.newOutputStream(file);
        writer = new Thread(this::write, "ledger");
        writer.setDaemon(true);
        writer.start();
    }

    public synchronized void line(Moment when, String word, Object... fields) {
        if (closed) {
            return;
        }
        if (kept && (lines.length() > MOST_KEPT || broken != null)) {
            return;
        }
        if (lines.length() > MOST_WAITING) {
            throw new IllegalStateException("the ledger's disk does not keep up");
        }
        lines.append(when.micros()).append(' ').append(word);
        for (Object field : fields) {
            String text = String.valueOf(field);
            lines.append(' ').append(text.isEmpty() ? "-" : text);
        }
        lines.append('\n');
    }

    private void write() {
        try {
            for (boolean last = false; !last;) {
                StringBuilder full;
                synchronized (this) {
                    if (!closed) {
                        wait(EVERY_MS);
                    }
                    last = closed;
                    full = lines;
                    lines = new StringBuilder(1 << 16);
                }
                out.write(full.toString().getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            broken = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All lines are in the file when it returns. */
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
        if (broken != null) {
            throw broken;
        }
    }
}
