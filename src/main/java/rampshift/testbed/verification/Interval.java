package rampshift.testbed.verification;

/** A span of time in microseconds of Unix time, both ends included. It is open until its end is set. */
final class Interval {
    private static final long OPEN = Long.MAX_VALUE;

    private final long start;
    private long end = OPEN;

    /** An open interval from that time on. */
    Interval(long start) {
        this.start = start;
    }

    /** An interval that has one instant alone. */
    static Interval instant(long time) {
        Interval interval = new Interval(time);
        interval.endAt(time);
        return interval;
    }

    long start() {
        return start;
    }

    /** The end, or {@link Long#MAX_VALUE} while the interval is open. */
    long end() {
        return end;
    }

    boolean isOpen() {
        return end == OPEN;
    }

    /** Sets the end, also where one was set before. */
    void endAt(long time) {
        end = time;
    }

    /** Sets the end unless an earlier one is set. */
    void endNoLaterThan(long time) {
        end = Math.min(end, time);
    }

    boolean contains(long time) {
        return overlaps(time, time);
    }

    /** Whether any instant of the interval lies between the two times, both included. */
    boolean overlaps(long from, long to) {
        return start <= to && end >= from;
    }
}
