package rampshift.time;

/**
 * The system clock of the dispatcher: monotonic, and set to Unix time once, at its creation, because the
 * start times of workers are given in Unix time. Later steps of the machine's wall clock have no effect.
 */
public final class Clock {
    private static final long MICROS_PER_MILLI = 1000;
    private static final long NANOS_PER_MICRO = 1000;

    private final long offsetMicros;

    /** Creates a clock that is set to the current wall clock time. */
    public Clock() {
        offsetMicros = System.currentTimeMillis() * MICROS_PER_MILLI - monotonicMicros();
    }

    /** Returns the current moment, in microseconds of Unix time. */
    public Moment now() {
        return new Moment(offsetMicros + monotonicMicros());
    }

    private static long monotonicMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }
}
