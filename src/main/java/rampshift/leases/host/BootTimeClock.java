package rampshift.leases.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rampshift.time.Moment;

/**
 * A monotonic clock that includes the time in which the machine is suspended. The JVM's monotonic clock stops
 * during a suspension, so that an expired lease would look valid afterwards. If the system does not report
 * its uptime, this clock equals the JVM's. Steps of the wall clock have no effect.
 */
final class BootTimeClock {
    /** File with the seconds since the machine was booted, including time in suspension. */
    private static final Path UPTIME = Path.of("/proc/uptime");
    /** Difference between the two clocks above which a suspension is assumed. */
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
     * Returns the time since this clock was created. Reads the uptime on each call, since callers decide by
     * it whether they may act.
     */
    Moment now() {
        long uptimeMicros = uptimeMicros();
        long elapsedMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        if (uptimeMicros != UNKNOWN && startUptimeMicros != UNKNOWN) {
            long differenceMicros = uptimeMicros - startUptimeMicros - elapsedMicros;
            if (differenceMicros > suspendedMicros + TOLERANCE_MICROS) {
                suspendedMicros = differenceMicros;
            }
        }
        return new Moment(elapsedMicros + suspendedMicros);
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
