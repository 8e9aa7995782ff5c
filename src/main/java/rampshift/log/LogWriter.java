package rampshift.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** Writes lines to standard error on a separate thread, which is started with the first line. */
final class LogWriter {
    private static final int QUEUE_CAPACITY = 512;
    private static final int MAX_FLUSH_POLLS = 50;
    private static final long FLUSH_POLL_INTERVAL_MILLIS = 2;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private long dropped;
    private Thread thread;

    /** Adds a line to the queue, or drops it if the queue is full. */
    synchronized void write(String line) {
        if (lines.offer(line)) {
            dropped = 0;
        } else {
            dropped++;
        }
        if (thread == null) {
            thread = new Thread(this::run, "log");
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Returns the number of lines that were dropped since a line was last added to the queue. */
    synchronized long dropped() {
        return dropped;
    }

    private void run() {
        PrintStream out = System.err;
        try {
            while (true) {
                out.println(lines.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits, for a limited time, until the queue is empty, and then a moment longer for the line that is
     * being written.
     */
    void flush() {
        try {
            for (int i = 0; i < MAX_FLUSH_POLLS && !lines.isEmpty(); i++) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_INTERVAL_MILLIS);
            }
            TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
