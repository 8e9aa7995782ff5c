package rampshift.testbed.links;

import org.apache.commons.rng.UniformRandomProvider;
import rampshift.time.Span;

/** The faults of the link from one dispatcher to another, in that direction only. */
public final class LinkFaults {
    private static final double MAX_QUEUE_MS = 1000;
    private static final double MS_PER_SECOND = 1000;
    private static final double[] LOST = {};

    private boolean cut;
    private double lossShare;
    private double duplicateShare;
    private Span delay = Span.ZERO;
    private Span jitter = Span.ZERO;
    private double bytesPerSecond;
    private double queueEmptyAtMs;

    /** Cuts the link, so that it transmits nothing, or restores it. */
    public void setCut(boolean cut) {
        this.cut = cut;
    }

    /** Sets the share of the datagrams that are lost, 0 to 1. */
    public void setLossShare(double share) {
        lossShare = share;
    }

    /** Sets the share of the datagrams that arrive twice, 0 to 1. */
    public void setDuplicateShare(double share) {
        duplicateShare = share;
    }

    /** Sets the delay of all datagrams and streams. */
    public void setDelay(Span delay) {
        this.delay = delay;
    }

    /** Sets the upper bound of a random additional delay of each datagram, which reorders datagrams. */
    public void setJitter(Span jitter) {
        this.jitter = jitter;
    }

    /**
     * Sets the bandwidth for datagrams; 0 for no limit. A datagram that would be queued for longer than a
     * second is lost.
     */
    public void setBandwidth(double bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Decides whether a datagram is lost, delayed or duplicated.
     *
     * @return the delay of each of its copies in milliseconds; empty if it is lost
     */
    double[] datagramDelaysMs(double nowMs, int bytes, UniformRandomProvider random) {
        if (cut || random.nextDouble() < lossShare) {
            return LOST;
        }
        double queueMs = 0;
        if (bytesPerSecond > 0) {
            double transmissionMs = MS_PER_SECOND * bytes / bytesPerSecond;
            queueEmptyAtMs = Math.max(queueEmptyAtMs, nowMs) + transmissionMs;
            queueMs = queueEmptyAtMs - nowMs;
            if (queueMs > MAX_QUEUE_MS) {
                queueEmptyAtMs -= transmissionMs;
                return LOST;
            }
        }
        double[] delaysMs = new double[random.nextDouble() < duplicateShare ? 2 : 1];
        for (int i = 0; i < delaysMs.length; i++) {
            delaysMs[i] = queueMs + delay.millis() + jitter.millis() * random.nextDouble();
        }
        return delaysMs;
    }

    boolean isCut() {
        return cut;
    }

    /** Returns the delay of stream data, which is never lost, reordered or limited in bandwidth. */
    double streamDelayMs() {
        return delay.millis();
    }
}
