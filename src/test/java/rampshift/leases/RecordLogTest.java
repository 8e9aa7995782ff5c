package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.leases.store.RecordLog;

/** A keeper's directory. */
class RecordLogTest {
    @TempDir
    private Path folder;

    private static byte[] bytes(int of) {
        return new byte[]{(byte) of, 1, 2};
    }

    private Path file() {
        return folder.resolve("records");
    }

    private void write(int count) throws IOException {
        try (RecordLog r = new RecordLog(folder)) {
            for (int i = 0; i < count; i++) {
                r.add("k" + i % 3, bytes(i));
                r.sync();
            }
        }
    }

    @Test
    void theLastOfEachKeyIsThereAgain() throws IOException {
        write(7);
        try (RecordLog r = new RecordLog(folder)) {
            assertEquals(7, r.position());
            assertArrayEquals(bytes(6), r.all().get("k0"));
            assertArrayEquals(bytes(5), r.all().get("k2"));
        }
    }

    @Test
    void whateverIsTornOffAtTheEndOnlyTheLastIsLost() throws IOException {
        write(4);
        byte[] whole = Files.readAllBytes(file());
        int last = (whole.length - 8) / 4;
        for (int cut = 1; cut <= last; cut++) {
            Files.write(file(), java.util.Arrays.copyOf(whole, whole.length - cut));
            try (RecordLog r = new RecordLog(folder)) {
                assertEquals(3, r.position(), "cut by " + cut);
            }
        }
        // the system had made room already
        Files.write(file(), java.util.Arrays.copyOf(whole, whole.length + 4096));
        try (RecordLog r = new RecordLog(folder)) {
            assertEquals(4, r.position());
            r.add("new", bytes(9));
            r.sync();
        }
        try (RecordLog r = new RecordLog(folder)) {
            assertArrayEquals(bytes(9), r.all().get("new"));
        }
    }

    @Test
    void anyByteChangedBeforeTheLastRecordIsRefused() throws IOException {
        write(4);
        byte[] whole = Files.readAllBytes(file());
        int last = (whole.length - 8) / 4;
        for (int at = 0; at < whole.length - last; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 0x11;
            Files.write(file(), changed);
            String why = assertThrows(IOException.class, () -> new RecordLog(folder).close(), "byte " + at)
                    .getMessage();
            assertTrue(why.startsWith(file().toString()) && why.split("\n").length == 1, why);
        }
    }

    @Test
    void aSecondProcessIsRefused() throws IOException {
        try (RecordLog r = new RecordLog(folder)) {
            assertTrue(assertThrows(IOException.class, () -> new RecordLog(folder)).getMessage()
                    .contains("another process"));
        }
        write(1);
    }

    @Test
    void itStaysSmallAndKeepsCounting() throws IOException {
        byte[] much = new byte[20_000];
        try (RecordLog r = new RecordLog(folder)) {
            for (int i = 0; i < 400; i++) {
                r.add("k" + i % 3, much);
                r.sync();
            }
            assertTrue(r.position() >= 400);
        }
        assertTrue(Files.size(file()) < 2 << 20, Files.size(file()) + " bytes");
        try (RecordLog r = new RecordLog(folder)) {
            assertEquals(3, r.all().size());
            assertTrue(r.position() >= 400);
        }
    }
}
