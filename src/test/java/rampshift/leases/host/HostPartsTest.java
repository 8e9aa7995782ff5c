package rampshift.leases.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.leases.store.RecordLog;
import rampshift.time.Moment;

/** Tests the clock of leases and the writer of records. */
class HostPartsTest {
    private static final int TIMEOUT_SECONDS = 5;
    /** File header, frame header, minimum body, and a key and a value of one byte each. */
    private static final int ONE_RECORD_BYTES = 8 + 8 + 10 + 1 + 1;

    @TempDir
    private Path folder;

    @Test
    void theClockIncludesAnHourOfSuspension() throws Exception {
        Path uptime = Files.writeString(folder.resolve("uptime"), "1000.00 0.00\n");
        BootTimeClock clock = new BootTimeClock(uptime);
        Moment before = clock.now();
        Files.writeString(uptime, "4600.00 0.00\n");
        double elapsedMillis = clock.now().since(before).millis();
        assertTrue(elapsedMillis > 3_590_000 && elapsedMillis < 3_610_000, elapsedMillis + " ms");
        Moment after = clock.now();
        Files.writeString(uptime, "900.00 0.00\n");
        assertFalse(clock.now().before(after), "the clock never goes back");
        Files.delete(uptime);
        assertFalse(clock.now().before(after), "nor when the uptime is no longer available");
    }

    @Test
    void listenersAreCalledOnceTheirRecordsAreOnDiskAndNeverAfterAFailure() throws Exception {
        List<String> calls = new CopyOnWriteArrayList<>();
        CountDownLatch synced = new CountDownLatch(1);
        CountDownLatch failed = new CountDownLatch(1);
        Path directory = folder.resolve("acceptor");
        RecordLog records = new RecordLog(directory);
        RecordWriter writer = new RecordWriter(records, Runnable::run, failed::countDown);
        writer.write("k", new byte[]{1});
        writer.afterSync(recordCount -> {
            calls.add(recordCount + " " + size(directory.resolve("records")));
            synced.countDown();
        });
        assertTrue(synced.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of("1 " + ONE_RECORD_BYTES), calls);
        records.close(); // makes the next write fail, like a failed disk
        writer.write("k", new byte[]{2});
        writer.afterSync(recordCount -> calls.add("called"));
        assertTrue(failed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        writer.afterSync(recordCount -> calls.add("called"));
        assertEquals(1, calls.size());
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
