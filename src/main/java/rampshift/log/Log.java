package rampshift.log;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The logger: one line an event, {@code seconds LEVEL event key=value ...}, to standard error. A thread of
 * its own writes, so that a stuck reader of the log never holds up the dispatcher: then lines are dropped
 * and counted. Of each event only so many lines a second are written. May be called on any thread.
 */
public final class Log {
    private static final long STARTED_NANOS = System.nanoTime();
    private static final Map<String, EventRateLimit> RATE_LIMITS = new HashMap<>();
    private static final LogWriter WRITER = new LogWriter();

    private Log() {}

    /**
     * Logs an event of ordinary operation.
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

    /** Waits a little, before the process ends, until the lines so far are written. */
    public static void flush() {
        WRITER.flush();
    }
}
