package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What callers see of a dispatcher whose I/O thread ends. */
class IoThreadFailureTest {
    private static final String LIMITS = "{\"memory_mb\":64,\"sockets\":256}";
    private static final int MAX_EXIT_SECONDS = 10;
    /** The exit status of the JVM with ExitOnOutOfMemoryError. */
    private static final int OUT_OF_MEMORY_STATUS = 3;

    private static void fail(ServeProcess dispatcher, char failure) throws Exception {
        OutputStream input = dispatcher.process().getOutputStream();
        input.write(failure);
        input.flush();
        assertTrue(dispatcher.process().waitFor(MAX_EXIT_SECONDS, TimeUnit.SECONDS), "it stays up");
    }

    /**
     * Guards against a process that stays up without its I/O thread: its clients waited for good, and nothing
     * started it anew.
     */
    @Test
    void theProcessEndsAndItsClientsAreReset(@TempDir Path folder) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (TestServer worker = new TestServer((task, connection) -> end.await());
                ServeProcess dispatcher = new ServeProcess(FailingMain.class, folder, LIMITS,
                        worker.entry("s-1", "in_service"));
                TestConnection client = dispatcher.connect().sendTask("t", "sell", "x")) {
            TestPeers.until("the task is at its worker", () -> worker.received.size() == 1);
            fail(dispatcher, FailingMain.END);
            assertEquals(ExitStatus.FAILED, dispatcher.process().exitValue());
            assertTrue(client.closedByPeer());
            assertTrue(dispatcher.log().contains(" ERROR io-thread-ended exit=1"), dispatcher.log());
        } finally {
            end.countDown();
        }
    }

    /** The kernel would go on accepting connections for a process that has no memory left to serve them. */
    @Test
    void theProcessEndsAfterAnOutOfMemoryError(@TempDir Path folder) throws Exception {
        try (ServeProcess dispatcher = new ServeProcess(FailingMain.class, folder, LIMITS)) {
            fail(dispatcher, FailingMain.EXHAUST);
            assertEquals(OUT_OF_MEMORY_STATUS, dispatcher.process().exitValue(), dispatcher.log());
        }
    }
}
