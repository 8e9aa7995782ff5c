package rampshift.leases.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rampshift.time.Moment;

/**
 * A clock that goes on while the machine is suspended: the JVM's monotonic clock stands still then, and a
 * lease would seem to last. Where the system tells no uptime it is the monotonic clock alone. Steps of the
 * wall clock change nothing.
 */
final class BootTimeClock {
    /** Seconds since the machine's start, time in suspension included. */
    private static final Path UPTIME = Path.of("/proc/uptime");
    /** How far the two clocks may differ without a suspension. */
    private static final long TOLERANCE_MICROS = 50_000;
    private static final long UNKNOWN = -1;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NANOS_PER_MICRO = 1000;

    private final Path uptimeFile;
    private final long startNanos;
    private final long startUptimeMicros;
    private long suspendedMicros;

    BootTimeClock() {
        this(UPTIME);
    }

    BootTimeClock(Path uptimeFile) {
        this.uptimeFile = uptimeFile;
        startNanos = System.nanoTime();
        startUptimeMicros = uptimeMicros();
    }

    /**
     * The time since the clock was made. It reads the uptime anew each time: it is asked right before acting.
     */
    Moment now() {
        long uptimeMicros = uptimeMicros();
        long runMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        if (uptimeMicros != UNKNOWN && startUptimeMicros != UNKNOWN) {
            long missedMicros = uptimeMicros - startUptimeMicros - runMicros;
            if (missedMicros > suspendedMicros + TOLERANCE_MICROS) {
                suspendedMicros = missedMicros;
            }
        }
        return new Moment(runMicros + suspendedMicros);
    }

    private long uptimeMicros() {
        try {
            String text = Files.readString(uptimeFile);
            return Math.round(Double.parseDouble(text.substring(0, text.indexOf(' '))) * MICROS_PER_SECOND);
        } catch (IOException | RuntimeException e) {
            return UNKNOWN;
        }
    }
}
