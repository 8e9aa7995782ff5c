package rampshift.testbed.links;

import org.apache.commons.rng.UniformRandomProvider;
import rampshift.time.Span;

/**
 * What befalls what goes from one dispatcher to another, in that direction alone. Lost and repeated: shares
 * of the
 * datagrams. Late and scattered: every datagram comes so much later, and up to so much more, by which they
 * overtake
 * one another. Narrow: bytes a second that get through, 0 for all; what would wait longer than a second is
 * lost.
 */
public final class LinkFaults {
    private static final double MOST_QUEUED = 1.0;

    private boolean cut;
    private double lost;
    private double repeated;
    private Span late = Span.ZERO;
    private Span scattered = Span.ZERO;
    private double narrow;
    private double freeAt;

    public void cut(boolean on) {
        cut = on;
    }

    public void lost(double share) {
        lost = share;
    }

    public void repeated(double share) {
        repeated = share;
    }

    public void late(Span span) {
        late = span;
    }

    public void scattered(Span span) {
        scattered = span;
    }

    public void narrow(double bytesASecond) {
        narrow = bytesASecond;
    }

    /** Milliseconds until each copy of a datagram is there; none where it is lost. */
    double[] passes(double nowMs, int bytes, UniformRandomProvider chance) {
        if (cut || chance.nextDouble() < lost) {
            return new double[0];
        }
        double wait = 0;
        if (narrow > 0) {
            freeAt = Math.max(freeAt, nowMs) + 1000 * bytes / narrow;
            wait = freeAt - nowMs;
            if (wait > 1000 * MOST_QUEUED) {
                freeAt -= 1000 * bytes / narrow;
                return new double[0];
            }
        }
        double[] copies = new double[chance.nextDouble() < repeated ? 2 : 1];
        for (int i = 0; i < copies.length; i++) {
            copies[i] = wait + late.millis() + scattered.millis() * chance.nextDouble();
        }
        return copies;
    }

    boolean isCut() {
        return cut;
    }

    /** Streams come whole and in order, or not at all. */
    double streamWait() {
        return late.millis();
    }
}
