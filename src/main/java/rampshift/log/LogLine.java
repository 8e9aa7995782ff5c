package rampshift.log;

import java.util.concurrent.TimeUnit;

/** A builder for the text of one log line. */
final class LogLine {
    private static final int INITIAL_CHARS = 96;
    private static final int MAX_VALUE_CHARS = 400;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final char DELETE = 127;

    private final StringBuilder text = new StringBuilder(INITIAL_CHARS);

    /** Creates a line that begins with the time since the start, the level and the event. */
    LogLine(long nanosSinceStart, LogLevel level, String event) {
        long millis = TimeUnit.NANOSECONDS.toMillis(nanosSinceStart);
        String paddedFraction = String.valueOf(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        text.append(millis / MILLIS_PER_SECOND).append('.').append(paddedFraction, 1,
                paddedFraction.length());
        text.append(' ').append(level).append(' ').append(event);
    }

    /**
     * Appends a pair. Replaces control characters in the value and truncates it, since it may come from
     * another process.
     */
    void append(Object key, Object value) {
        text.append(' ').append(key).append('=');
        String full = String.valueOf(value);
        int length = Math.min(full.length(), MAX_VALUE_CHARS);
        for (int i = 0; i < length; i++) {
            char character = full.charAt(i);
            text.append(character < ' ' || character == DELETE ? '?' : character);
        }
        if (length < full.length()) {
            text.append("...");
        }
    }

    /** Appends a count unless it is 0. */
    void appendCount(String key, long count) {
        if (count > 0) {
            append(key, count);
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
