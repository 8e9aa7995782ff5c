package rampshift.time;

/** A point in time on the host's clock, which starts anywhere and only advances. */
public record Moment(long micros) implements Comparable<Moment> {
    public static Moment ofMillis(double millis) {
        return new Moment(Math.round(millis * 1000));
    }

    public double millis() {
        return micros / 1000.0;
    }

    public Moment plus(Span span) {
        return new Moment(micros + span.micros());
    }

    public Moment minus(Span span) {
        return new Moment(micros - span.micros());
    }

    /** The span from an earlier moment to this one. */
    public Span since(Moment earlier) {
        return new Span(micros - earlier.micros);
    }

    public boolean before(Moment other) {
        return micros < other.micros;
    }

    public Moment orEarlier(Moment other) {
        return micros <= other.micros ? this : other;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(micros, other.micros);
    }
}
