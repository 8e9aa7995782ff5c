package rampshift.time;

/**
 * A point in time on the host's clock, whose zero is the host's choice and which only advances.
 *
 * @param micros microseconds since that zero
 */
public record Moment(long micros) implements Comparable<Moment> {
    private static final long MICROS_PER_MILLI = 1000;

    /** The moment so many milliseconds after zero, rounded to the microsecond. */
    public static Moment ofMillis(double millis) {
        return new Moment(Math.round(millis * MICROS_PER_MILLI));
    }

    /** Milliseconds since zero. */
    public double millis() {
        return (double) micros / MICROS_PER_MILLI;
    }

    /** The moment that much later. */
    public Moment plus(Span span) {
        return new Moment(micros + span.micros());
    }

    /** The moment that much earlier. */
    public Moment minus(Span span) {
        return new Moment(micros - span.micros());
    }

    /** The span from an earlier moment to this one; negative where the other one is later. */
    public Span since(Moment earlier) {
        return new Span(micros - earlier.micros);
    }

    /** Whether this moment is earlier than the other. */
    public boolean before(Moment other) {
        return micros < other.micros;
    }

    /** The earlier of the two. */
    public Moment orEarlier(Moment other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(micros, other.micros);
    }
}
