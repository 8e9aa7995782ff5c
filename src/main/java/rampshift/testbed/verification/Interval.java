package rampshift.testbed.verification;

/** A time interval in microseconds of Unix time, both ends included. It is open until its end is set. */
final class Interval {
    private static final long OPEN = Long.MAX_VALUE;

    private final long start;
    private long end = OPEN;

    /** Creates an open interval that starts at the given time. */
    Interval(long start) {
        this.start = start;
    }

    /** Returns an interval that consists of one instant. */
    static Interval instant(long time) {
        Interval interval = new Interval(time);
        interval.endAt(time);
        return interval;
    }

    long start() {
        return start;
    }

    /** Returns the end, or {@link Long#MAX_VALUE} while the interval is open. */
    long end() {
        return end;
    }

    boolean isOpen() {
        return end == OPEN;
    }

    /** Sets the end; replaces an earlier value. */
    void endAt(long time) {
        end = time;
    }

    /** Sets the end unless it is set to an earlier time. */
    void endNoLaterThan(long time) {
        end = Math.min(end, time);
    }

    boolean contains(long time) {
        return overlaps(time, time);
    }

    /** Returns whether any instant of the interval is between the two times, both included. */
    boolean overlaps(long from, long to) {
        return start <= to && end >= from;
    }
}
