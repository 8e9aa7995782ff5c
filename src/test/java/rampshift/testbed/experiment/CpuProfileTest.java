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
    private static final AtomicLong SUM = new AtomicLong();
    private static final long BUSY_NANOS = 700_000_000L;

    @TempDir
    private Path folder;

    private static void keepBusy(long untilNanos) {
        while (System.nanoTime() < untilNanos) {
            SUM.addAndGet(Long.numberOfTrailingZeros(SUM.get() + 7));
        }
    }

    @Test
    void countsOnlySamplesOfTheIoThreadByPart() throws Exception {
        String text = print(CpuProfile.read(recordTwoBusyThreads()));
        // A dispatcher of an earlier test may still be stopping on its own I/O thread, which adds samples.
        Matcher testbed = Pattern.compile("([0-9.]+)%  testbed\n").matcher(text);
        assertTrue(testbed.find() && Double.parseDouble(testbed.group(1)) > 85, text);
        assertTrue(text.contains("testbed.experiment.CpuProfileTest.keepBusy"), text);
        int samples = Integer.parseInt(text.split(" ")[0]);
        assertTrue(samples > 5 && samples < 90, "samples of one thread, not of both: " + samples);
    }

    /** Records an I/O thread and another thread, both busy for the same time. */
    private Path recordTwoBusyThreads() throws Exception {
        Path file = folder.resolve("recording.jfr");
        try (Recording recording = new Recording()) {
            recording.enable("jdk.ExecutionSample").withPeriod(Duration.ofMillis(10));
            recording.start();
            long end = System.nanoTime() + BUSY_NANOS;
            Thread ioThread = new Thread(() -> keepBusy(end), "io I/O-1");
            Thread otherThread = new Thread(() -> keepBusy(end), "log");
            ioThread.start();
            otherThread.start();
            ioThread.join();
            otherThread.join();
            recording.dump(file);
        }
        return file;
    }

    private static String print(CpuProfile profile) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        profile.print(new PrintStream(out, true, StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void stolenTimeIsAShareOfTheDemandedTime() {
        HostMetrics earlier = new HostMetrics(100, 0);
        assertEquals(0.4, new HostMetrics(160, 40).stolenShareSince(earlier), 1e-9);
        assertEquals(0, new HostMetrics(0, 0).stolenShareSince(new HostMetrics(0, 0)));
    }
}
