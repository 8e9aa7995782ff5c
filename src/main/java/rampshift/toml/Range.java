package rampshift.toml;

import rampshift.time.Span;

/** From the one span to the other, both included. */
public record Range(Span from, Span to) {
    public static Range of(double fromMs, double toMs) {
        return new Range(Span.ofMillis(fromMs), Span.ofMillis(toMs));
    }

    /** The span at a share of the way, 0 to 1. */
    public Span at(double share) {
        return from.plus(to.minus(from).times(share));
    }
}
