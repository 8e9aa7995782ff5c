package rampshift.time;

/**
 * A point in time on the monotonic clock of the host, which also defines its zero.
 *
 * @param micros the microseconds since that zero
 */
public record Moment(long micros) implements Comparable<Moment> {
    private static final long MICROS_PER_MILLI = 1000;

    /** Returns the moment the given milliseconds after zero, rounded to the microsecond. */
    public static Moment ofMillis(double millis) {
        return new Moment(Math.round(millis * MICROS_PER_MILLI));
    }

    /** Returns the milliseconds since zero. */
    public double millis() {
        return (double) micros / MICROS_PER_MILLI;
    }

    /** Returns the moment that is later by a span. */
    public Moment plus(Span span) {
        return new Moment(micros + span.micros());
    }

    /** Returns the moment that is earlier by a span. */
    public Moment minus(Span span) {
        return new Moment(micros - span.micros());
    }

    /** Returns the span from an earlier moment to this one; negative if the other one is later. */
    public Span since(Moment earlier) {
        return new Span(micros - earlier.micros);
    }

    /** Returns whether this moment is earlier than the other one. */
    public boolean before(Moment other) {
        return micros < other.micros;
    }

    /** Returns the earlier one of the two moments. */
    public Moment orEarlier(Moment other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(micros, other.micros);
    }
}
