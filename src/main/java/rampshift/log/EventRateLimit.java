package rampshift.log;

/** Bounds how many lines a second one event may write. */
final class EventRateLimit {
    private static final int MAX_LINES_PER_SECOND = 5;

    private long currentSecond;
    private int requestedThisSecond;
    private int suppressed;

    /** Whether a line may be written in that second; if not, it counts as suppressed. */
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

    /** How many lines were suppressed since this was last called. */
    int takeSuppressed() {
        int taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
