package rampshift.log;

/** Limits the number of lines per second for one event. */
final class EventRateLimit {
    private static final int MAX_LINES_PER_SECOND = 5;

    private long currentSecond;
    private int requestedThisSecond;
    private int suppressed;

    /** Returns whether a line may be written in that second; otherwise it is counted as suppressed. */
    boolean tryAcquire(long second) {
        if (second != currentSecond) {
            currentSecond = second;
            requestedThisSecond = 0;
        }
        requestedThisSecond++;
        if (requestedThisSecond > MAX_LINES_PER_SECOND) {
            suppressed++;
            return false;
        }
        return true;
    }

    /** Returns the number of lines that were suppressed since the last call, and resets it. */
    int takeSuppressed() {
        int taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
