package rampshift.time;

/**
 * A length of time; it may be negative.
 *
 * @param micros the length in microseconds
 */
public record Span(long micros) implements Comparable<Span> {
    /** A span of length zero. */
    public static final Span ZERO = new Span(0);

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MILLIS_PER_SECOND = 1000;

    /** Returns a span of the given milliseconds, rounded to the microsecond. */
    public static Span ofMillis(double millis) {
        return new Span(Math.round(millis * MICROS_PER_MILLI));
    }

    /** Returns the length in milliseconds. */
    public double millis() {
        return (double) micros / MICROS_PER_MILLI;
    }

    /** Returns the length in seconds with three decimals; fractions of a millisecond are dropped. */
    public String seconds() {
        long wholeMillis = Math.abs(micros) / MICROS_PER_MILLI;
        String paddedFraction =
                String.valueOf(MILLIS_PER_SECOND + wholeMillis % MILLIS_PER_SECOND).substring(1);
        String sign = micros < 0 && wholeMillis > 0 ? "-" : "";
        return sign + wholeMillis / MILLIS_PER_SECOND + '.' + paddedFraction;
    }

    /** Returns the sum of the two spans. */
    public Span plus(Span other) {
        return new Span(micros + other.micros);
    }

    /** Returns this span minus the other one. */
    public Span minus(Span other) {
        return new Span(micros - other.micros);
    }

    /** Returns this span times a factor, rounded to the microsecond. */
    public Span times(double factor) {
        return new Span(Math.round(micros * factor));
    }

    /** Returns the ratio of this span to the other one. */
    public double over(Span other) {
        return (double) micros / other.micros;
    }

    /** Returns whether this span is longer than the other one. */
    public boolean longerThan(Span other) {
        return micros > other.micros;
    }

    /** Returns the longer one of the two spans. */
    public Span orLonger(Span other) {
        return micros >= other.micros ? this : other;
    }

    /** Returns the shorter one of the two spans. */
    public Span orShorter(Span other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(micros, other.micros);
    }
}
