package rampshift.time;

/**
 * The running clock: monotonic, and set once to Unix time, because start times of workers come in it. Later
 * steps of the machine's wall clock change nothing.
 */
public final class Clock {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long NANOS_PER_MICRO = 1000;

    private final long offsetMicros;

    /** A clock that is set to the wall clock now. */
    public Clock() {
        offsetMicros = System.currentTimeMillis() * MICROS_PER_MILLI - monotonicMicros();
    }

    /** The present moment, in microseconds of Unix time. */
    public Moment now() {
        return new Moment(offsetMicros + monotonicMicros());
    }

    private static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }
}
