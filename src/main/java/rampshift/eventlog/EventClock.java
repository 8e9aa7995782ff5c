package rampshift.eventlog;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import rampshift.time.Moment;

/**
 * The clock of event logs: Unix time to the microsecond, read once, monotonic from there. All processes of
 * a run are on one machine, so that their times can be compared.
 */
@SuppressWarnings("TimeInStaticInitializer") // one clock a process, from its start
public final class EventClock {
    private static final long NANOS_PER_MICRO = 1000;
    private static final long START_MICROS = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
            - System.nanoTime() / NANOS_PER_MICRO;

    private EventClock() {}

    /** The present time. */
    public static Moment now() {
        return new Moment(START_MICROS + System.nanoTime() / NANOS_PER_MICRO);
    }

    /** On the scale of {@link System#nanoTime()}: for waits that are shorter than a millisecond. */
    public static long nanoTimeOf(Moment when) {
        return (when.micros() - START_MICROS) * NANOS_PER_MICRO;
    }
}
