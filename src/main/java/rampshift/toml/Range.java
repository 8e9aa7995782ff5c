package rampshift.toml;

import rampshift.time.Span;

/** From one span to another that is no shorter, both included. */
public record Range(Span from, Span to) {
    /** Of two lengths in milliseconds. */
    public static Range of(double fromMs, double toMs) {
        return new Range(Span.ofMillis(fromMs), Span.ofMillis(toMs));
    }

    /** The span at a share, 0 to 1, of the distance between the two. */
    public Span at(double share) {
        return from.plus(to.minus(from).times(share));
    }
}
