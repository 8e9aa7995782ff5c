package rampshift.eventlog;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import rampshift.time.Moment;

/**
 * The clock of event logs: the Unix time in microseconds at the start of the process, advanced monotonically.
 * Times of different processes are comparable, since all processes of a run are on one machine.
 */
@SuppressWarnings("TimeInStaticInitializer") // one clock per process, from its start
public final class EventClock {
    private static final long NANOS_PER_MICRO = 1000;
    private static final long START_MICROS = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now())
            - System.nanoTime() / NANOS_PER_MICRO;

    private EventClock() {}

    /** Returns the current time. */
    public static Moment now() {
        return new Moment(START_MICROS + System.nanoTime() / NANOS_PER_MICRO);
    }

    /** Converts to the scale of {@link System#nanoTime()}, for waits shorter than a millisecond. */
    public static long nanoTimeOf(Moment when) {
        return (when.micros() - START_MICROS) * NANOS_PER_MICRO;
    }
}
