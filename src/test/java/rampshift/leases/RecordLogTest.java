package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.leases.store.RecordLog;

/** Tests the directory of an acceptor. */
class RecordLogTest {
    private static final int FILE_HEADER_BYTES = 8;
    private static final int KEYS = 3;

    @TempDir
    private Path folder;

    private static byte[] value(int number) {
        return new byte[]{(byte) number, 1, 2};
    }

    private Path file() {
        return folder.resolve("records");
    }

    /** Writes records of equal length; returns the content of the file. */
    private byte[] write(int count) throws IOException {
        try (RecordLog log = new RecordLog(folder)) {
            for (int i = 0; i < count; i++) {
                log.add("k" + i % KEYS, value(i));
                log.sync();
            }
        }
        return Files.readAllBytes(file());
    }

    @Test
    void theLastRecordOfEachKeyIsReadBack() throws IOException {
        write(7);
        try (RecordLog log = new RecordLog(folder)) {
            assertEquals(7, log.recordCount());
            assertArrayEquals(value(6), log.records().get("k0"));
            assertArrayEquals(value(5), log.records().get("k2"));
        }
    }

    @Test
    void aTornEndLosesTheLastRecordOnly() throws IOException {
        byte[] whole = write(4);
        int frameBytes = (whole.length - FILE_HEADER_BYTES) / 4;
        for (int cut = 1; cut <= frameBytes; cut++) {
            Files.write(file(), Arrays.copyOf(whole, whole.length - cut));
            try (RecordLog log = new RecordLog(folder)) {
                assertEquals(3, log.recordCount(), "cut by " + cut);
            }
        }
        Files.write(file(), Arrays.copyOf(whole, whole.length + 4096)); // space allocated before a crash
        try (RecordLog log = new RecordLog(folder)) {
            assertEquals(4, log.recordCount());
            log.add("new", value(9));
            log.sync();
        }
        try (RecordLog log = new RecordLog(folder)) {
            assertArrayEquals(value(9), log.records().get("new"));
        }
    }

    @Test
    void anyByteChangedBeforeTheLastRecordIsAnError() throws IOException {
        byte[] whole = write(4);
        int frameBytes = (whole.length - FILE_HEADER_BYTES) / 4;
        for (int offset = 0; offset < whole.length - frameBytes; offset++) {
            byte[] changed = whole.clone();
            changed[offset] ^= 0x11;
            Files.write(file(), changed);
            String message =
                    assertThrows(IOException.class, () -> new RecordLog(folder).close(), "byte " + offset)
                            .getMessage();
            assertTrue(message.startsWith(file().toString()) && message.lines().count() == 1, message);
        }
    }

    @Test
    void aSecondProcessIsRejected() throws IOException {
        try (RecordLog log = new RecordLog(folder)) {
            assertEquals(0, log.recordCount());
            IOException rejected = assertThrows(IOException.class, () -> new RecordLog(folder).close());
            assertTrue(rejected.getMessage().contains("another process"));
        }
        write(1);
    }

    @Test
    void theFileIsCompactedAndTheRecordCountIncreases() throws IOException {
        byte[] large = new byte[20_000];
        try (RecordLog log = new RecordLog(folder)) {
            for (int i = 0; i < 400; i++) {
                log.add("k" + i % KEYS, large);
                log.sync();
            }
            assertTrue(log.recordCount() >= 400);
        }
        assertTrue(Files.size(file()) < 2 << 20, Files.size(file()) + " bytes");
        try (RecordLog log = new RecordLog(folder)) {
            assertEquals(KEYS, log.records().size());
            assertTrue(log.recordCount() >= 400);
        }
    }
}
