package rampshift.time;

/** A length of time, kept in whole microseconds. */
public record Span(long micros) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span ofMillis(double millis) {
        return new Span(Math.round(millis * 1000));
    }

    public double millis() {
        return micros / 1000.0;
    }

    /** In seconds, with three decimals; what is left of a millisecond is dropped. */
    public String seconds() {
        long millis = Math.abs(micros) / 1000;
        String part = String.valueOf(1000 + millis % 1000).substring(1);
        return (micros < 0 && millis > 0 ? "-" : "") + millis / 1000 + '.' + part;
    }

    public Span plus(Span other) {
        return new Span(micros + other.micros);
    }

    public Span minus(Span other) {
        return new Span(micros - other.micros);
    }

    public Span times(double factor) {
        return new Span(Math.round(micros * factor));
    }

    /** How many times the other span goes into this one. */
    public double over(Span other) {
        return (double) micros / other.micros;
    }

    public boolean longerThan(Span other) {
        return micros > other.micros;
    }

    public Span orLonger(Span other) {
        return micros >= other.micros ? this : other;
    }

    public Span orShorter(Span other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(micros, other.micros);
    }
}
