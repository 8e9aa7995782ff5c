package rampshift.leases.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** The clock and the disk of leases. */
class HostPartsTest {
    @TempDir
    private Path folder;

    @Test
    void anHourAsleepIsAnHourGone() throws Exception {
        Path uptime = Files.writeString(folder.resolve("uptime"), "1000.00 0.00\n");
        BootTimeClock clock = new BootTimeClock(uptime);
        Moment before = clock.now();
        Files.writeString(uptime, "4600.00 0.00\n");
        double gone = clock.now().since(before).millis();
        assertTrue(gone > 3_590_000 && gone < 3_610_000, gone + " ms");
        Moment after = clock.now();
        Files.writeString(uptime, "900.00 0.00\n");
        assertTrue(!clock.now().before(after), "it never goes back");
        Files.delete(uptime);
        assertTrue(!clock.now().before(after), "nor where nothing tells any more");
    }

    @Test
    void nothingIsToldBeforeItIsOnDiskAndNothingAfterTheDiskFailed() throws Exception {
        List<String> told = new CopyOnWriteArrayList<>();
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch failed = new CountDownLatch(1);
        Path directory = folder.resolve("keeper");
        RecordLog records = new RecordLog(directory);
        RecordWriter disk = new RecordWriter(records, Runnable::run, failed::countDown);
        disk.put("k", new byte[]{1});
        disk.then(position -> {
            try {
                told.add(position + " " + Files.size(directory.resolve("records")));
            } catch (java.io.IOException e) {
                told.add(e.toString());
            }
            first.countDown();
        });
        assertTrue(first.await(5, TimeUnit.SECONDS));
        assertEquals(List.of("1 " + (8 + 8 + 10 + 1 + 1)), told);
        records.close();        // as good as a disk that takes nothing
        disk.put("k", new byte[]{2});
        disk.then(position -> told.add("told"));
        assertTrue(failed.await(5, TimeUnit.SECONDS));
        disk.then(position -> told.add("told"));
        assertEquals(1, told.size());
    }
}
