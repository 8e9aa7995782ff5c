package rampshift.workers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.policy.AttemptOutcome;

class ProgressReaderTest {
    private static final int LINES_WITH_NEW_NAMES = 1_000;
    private static final int NAME_LENGTH = 45_000;
    /** A tenth of all the names. */
    private static final int MAX_KEPT_BYTES = LINES_WITH_NEW_NAMES * NAME_LENGTH / 10;

    private final ProgressReader reader = new ProgressReader("t", new LoadReportReader("x0", "x1"));

    private ProgressMessage read(String body) throws MalformedProgressException {
        ProgressMessage last = null;
        for (byte next : body.getBytes(StandardCharsets.UTF_8)) {
            ProgressMessage message = reader.read(next);
            last = message == null ? last : message;
        }
        return last;
    }

    @Test
    void readsAllFieldsOfAMessage() throws Exception {
        ProgressMessage message =
                read("{\"id\":\"t\",\"from\":\"w\",\"state\":\"running\",\"share\":0.5,\"other\":[1],"
                        + "\"load\":{\"x0\":3,\"depth\":2,\"inflight\":1,\"x1\":-1,\"name\":{}}}\r\n");
        assertEquals("t", message.taskId());
        assertEquals("w", message.workerUid());
        assertEquals(TaskState.RUNNING, message.state());
        assertEquals(0.5, message.progressShare());
        assertEquals(new LoadReport(3, 2, 1, Double.NaN), message.load());
    }

    @ParameterizedTest
    @ValueSource(strings = {"plain \u00fc", "a \\\"quoted\\\" word"})
    void readsResultsWithAndWithoutEscapes(String written) throws Exception {
        ProgressMessage message = read("{\"id\":\"t\",\"state\":\"done\",\"result\":\"" + written + "\"}\n");
        String expected = written.replace("\\", "");
        assertArrayEquals(expected.getBytes(StandardCharsets.UTF_8), message.result());
    }

    @Test
    void skipsBlankLinesAndReadsALastLineWithoutALineFeed() throws Exception {
        assertNull(read("\r\n\n{\"state\":\"started\"}"));
        assertEquals(TaskState.STARTED, reader.endLine().state());
        assertNull(reader.endLine());
    }

    @ParameterizedTest
    @ValueSource(strings = {"[]", "{\"id\":", "x", "{\"id\":\"other\"}", "{\"state\":\"done\"}",
            "{\"state\":\"returned\"}"})
    void rejectsLinesThatAreNoObjectOrMayBeAboutAnotherTask(String line) {
        MalformedProgressException thrown =
                assertThrows(MalformedProgressException.class, () -> read(line + "\n"));
        assertEquals(AttemptOutcome.BROKEN, thrown.outcome());
    }

    @Test
    void limitsTheLengthOfALine() {
        MalformedProgressException thrown = assertThrows(MalformedProgressException.class,
                () -> read(" ".repeat(64 * 1024 + 1)));
        assertEquals(AttemptOutcome.ERRED, thrown.outcome());
    }

    /** Guards against a parser that keeps all names of fields that any line has had. */
    @Test
    void namesOfFieldsAreNotKept() throws Exception {
        long before = usedHeapBytes();
        for (int i = 0; i < LINES_WITH_NEW_NAMES; i++) {
            read("{\"" + "x".repeat(NAME_LENGTH) + i + "\":1,\"state\":\"started\"}\n");
        }
        long kept = usedHeapBytes() - before;
        assertTrue(kept < MAX_KEPT_BYTES, kept + " bytes are kept");
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
