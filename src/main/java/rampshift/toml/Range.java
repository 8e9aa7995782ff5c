package rampshift.toml;

import rampshift.time.Span;

/** A range of spans with inclusive bounds; {@code to} is not shorter than {@code from}. */
public record Range(Span from, Span to) {
    /** Creates a range from bounds in milliseconds. */
    public static Range of(double fromMs, double toMs) {
        return new Range(Span.ofMillis(fromMs), Span.ofMillis(toMs));
    }

    /** Returns the span at a fraction, from 0 to 1, of the distance between the bounds. */
    public Span at(double share) {
        return from.plus(to.minus(from).times(share));
    }
}
