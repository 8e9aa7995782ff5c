package rampshift.testbed.clients;

import org.HdrHistogram.Histogram;
import rampshift.time.Span;

/** Histograms of spans, in microseconds. */
final class MicrosHistogram {
    private static final long MAX_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private MicrosHistogram() {}

    /** Creates an empty histogram for 0 to 120 s, with three significant digits. */
    static Histogram create() {
        return new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }

    /** Records a span, clamped to the range of the histogram. */
    static void record(Histogram histogram, Span span) {
        histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, span.micros())));
    }
}
