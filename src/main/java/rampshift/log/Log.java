package rampshift.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The logger. Writes one line per event, {@code seconds LEVEL event key=value ...}, to standard error on a
 * separate thread. If the reader of the log blocks, lines are dropped and counted, and the dispatcher is not
 * delayed. The number of lines per second is limited for each event. May be called on any thread.
 */
public final class Log {
    private static final long STARTED_NANOS = System.nanoTime();
    private static final Map<String, EventRateLimit> RATE_LIMITS = new HashMap<>();
    private static final LogWriter WRITER = new LogWriter();

    private Log() {}

    /**
     * Logs an event of normal operation.
     *
     * @param event one word
     * @param pairs keys and values in turn
     */
    public static void info(String event, Object... pairs) {
        line(LogLevel.INFO, event, pairs);
    }

    /**
     * Logs an event that an operator may have to look into.
     *
     * @param event one word
     * @param pairs keys and values in turn
     */
    public static void warn(String event, Object... pairs) {
        line(LogLevel.WARN, event, pairs);
    }

    /**
     * Logs a fault of this program.
     *
     * @param event one word
     * @param pairs keys and values in turn
     */
    public static void error(String event, Object... pairs) {
        line(LogLevel.ERROR, event, pairs);
    }

    static synchronized void line(LogLevel level, String event, Object... pairs) {
        long nanos = System.nanoTime() - STARTED_NANOS;
        EventRateLimit limit = RATE_LIMITS.computeIfAbsent(event, e -> new EventRateLimit());
        if (!limit.tryAcquire(TimeUnit.NANOSECONDS.toSeconds(nanos))) {
            return;
        }
        LogLine line = new LogLine(nanos, level, event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(pairs[i], pairs[i + 1]);
        }
        line.appendCount("left_out", limit.takeSuppressed());
        line.appendCount("dropped", WRITER.dropped());
        WRITER.write(line.toString());
    }

    /** Waits, for a limited time, until the pending lines are written. Called before the process ends. */
    public static void flush() {
        WRITER.flush();
    }
}
