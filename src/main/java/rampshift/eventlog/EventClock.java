package rampshift.eventlog;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import rampshift.time.Moment;

/**
 * The clock that ledgers are stamped by: Unix time to the microsecond, read once, then monotonic. All
 * processes
 * of a run are on one machine, so their stamps can be compared.
 */
public final class EventClock {
    private static final long ZERO = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
            - System.nanoTime() / 1000;

    private EventClock() {}

    public static Moment now() {
        return new Moment(ZERO + System.nanoTime() / 1000);
    }

    /** On the scale of {@link System#nanoTime()}: for waits that are shorter than a millisecond. */
    public static long nanoTimeOf(Moment when) {
        return (when.micros() - ZERO) * 1000;
    }
}
