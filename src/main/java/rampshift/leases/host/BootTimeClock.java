package rampshift.leases.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rampshift.time.Moment;

/**
 * A clock that goes on while the machine sleeps: the running clock of a process stands still then, and a
 * lease would
 * seem to last. Where the system does not tell, it is the running clock alone. Steps of the wall clock move
 * nothing.
 */
final class BootTimeClock {
    // seconds since the machine's start, sleep counted
    private static final Path UPTIME = Path.of("/proc/uptime");
    // micros by which the two may differ unslept
    private static final long ROUGH = 50_000;

    private final Path uptime;
    private final long zero;
    private final long upZero;
    private long slept;

    BootTimeClock() {
        this(UPTIME);
    }

    BootTimeClock(Path uptime) {
        this.uptime = uptime;
        zero = System.nanoTime();
        upZero = up();
    }

    /** From the process's start on. Asked at the last moment before an act: it looks anew each time. */
    Moment now() {
        long up = up();
        long ran = (System.nanoTime() - zero) / 1000;
        if (up >= 0 && upZero >= 0) {
            long gone = up - upZero - ran;
            if (gone > slept + ROUGH) {
                slept = gone;
            }
        }
        return new Moment(ran + slept);
    }

    private long up() {
        try {
            String text = Files.readString(uptime);
            return Math.round(Double.parseDouble(text.substring(0, text.indexOf(' '))) * 1e6);
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }
}
