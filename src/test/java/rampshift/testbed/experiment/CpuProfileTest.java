package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import jdk.jfr.Recording;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CpuProfileTest {
    @TempDir
    Path folder;

    private static final AtomicLong SUM = new AtomicLong();

    private static void works(long untilNanos) {
        while (System.nanoTime() < untilNanos) {
            SUM.addAndGet(Long.numberOfTrailingZeros(SUM.get() + 7));
        }
    }

    @Test
    void samplesOfTheThreadThatServesAreToldByPartAndThoseOfOthersLeftOut() throws Exception {
        Path file = folder.resolve("r.jfr");
        try (Recording recording = new Recording()) {
            recording.enable("jdk.ExecutionSample").withPeriod(Duration.ofMillis(10));
            recording.start();
            long end = System.nanoTime() + 700_000_000L;
            Thread serves = new Thread(() -> works(end), "io I/O-1");
            Thread other = new Thread(() -> works(end), "log");
            serves.start();
            other.start();
            serves.join();
            other.join();
            recording.dump(file);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        CpuProfile.read(file).print(new PrintStream(out, true, StandardCharsets.UTF_8));
        String text = out.toString(StandardCharsets.UTF_8);
        // A dispatcher of an earlier story may still be stopping, on an I/O thread of its own.
        Matcher fleet = Pattern.compile("([0-9.]+)%  testbed\n").matcher(text);
        assertTrue(fleet.find() && Double.parseDouble(fleet.group(1)) > 85, text);
        assertTrue(text.contains("testbed.experiment.CpuProfileTest.works"), text);
        int samples = Integer.parseInt(text.split(" ")[0]);
        assertTrue(samples > 5 && samples < 90, "one thread's, not both: " + samples);
    }

    @Test
    void whatTheHostTookIsAShareOfWhatWasWanted() {
        assertEquals(0.4, new HostMetrics(160, 40).stolenSince(new HostMetrics(100, 0)), 1e-9);
        assertEquals(0, new HostMetrics(0, 0).stolenSince(new HostMetrics(0, 0)));
    }
}
