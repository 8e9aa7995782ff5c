package rampshift.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** Writes lines to standard error on a thread of its own, which the first line starts. */
final class LogWriter {
    private static final int QUEUE_LINES = 512;
    private static final int FLUSH_POLLS = 50;
    private static final long FLUSH_POLL_MILLIS = 2;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
    private long dropped;
    private Thread thread;

    /** Hands over a line; where too many wait it is dropped. */
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

    /** How many lines were dropped since one was last handed over. */
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

    /** Waits until no line waits, but not long; then once more, for the line that is being written. */
    void flush() {
        try {
            for (int i = 0; i < FLUSH_POLLS && !lines.isEmpty(); i++) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
            }
            TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
