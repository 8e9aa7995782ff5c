package rampshift.time;

/**
 * A length of time; it may be negative.
 *
 * @param micros the length in microseconds
 */
public record Span(long micros) implements Comparable<Span> {
    /** No time at all. */
    public static final Span ZERO = new Span(0);

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MILLIS_PER_SECOND = 1000;

    /** A span of so many milliseconds, rounded to the microsecond. */
    public static Span ofMillis(double millis) {
        return new Span(Math.round(millis * MICROS_PER_MILLI));
    }

    /** Its length in milliseconds. */
    public double millis() {
        return (double) micros / MICROS_PER_MILLI;
    }

    /** Its length in seconds, with three decimals; what is left of a millisecond is dropped. */
    public String seconds() {
        long wholeMillis = Math.abs(micros) / MICROS_PER_MILLI;
        String paddedFraction =
                String.valueOf(MILLIS_PER_SECOND + wholeMillis % MILLIS_PER_SECOND).substring(1);
        String sign = micros < 0 && wholeMillis > 0 ? "-" : "";
        return sign + wholeMillis / MILLIS_PER_SECOND + '.' + paddedFraction;
    }

    /** The sum of the two. */
    public Span plus(Span other) {
        return new Span(micros + other.micros);
    }

    /** This span less the other. */
    public Span minus(Span other) {
        return new Span(micros - other.micros);
    }

    /** This span times a factor, rounded to the microsecond. */
    public Span times(double factor) {
        return new Span(Math.round(micros * factor));
    }

    /** The ratio of this span to the other. */
    public double over(Span other) {
        return (double) micros / other.micros;
    }

    /** Whether this span is longer than the other. */
    public boolean longerThan(Span other) {
        return micros > other.micros;
    }

    /** The longer of the two. */
    public Span orLonger(Span other) {
        return micros >= other.micros ? this : other;
    }

    /** The shorter of the two. */
    public Span orShorter(Span other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(micros, other.micros);
    }
}
