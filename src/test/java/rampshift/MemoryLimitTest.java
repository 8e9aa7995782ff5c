package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Peers that make a dispatcher with the smallest documented memory hold as much as they can. */
class MemoryLimitTest {
    private static final String LIMITS = "{\"memory_mb\":40,\"sockets\":1024}";
    private static final int WORKERS = 12;
    private static final int TASKS = 300;
    /** Length of a line that stays incomplete: 300 of them exceed the heap of 18 MB. */
    private static final int LINE_BYTES = 60_000;
    private static final int LATEST_ANSWER_MS = 5_500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    @TempDir
    private Path folder;
    private final CountDownLatch end = new CountDownLatch(1);
    private final List<TestServer> workers = new ArrayList<>();
    private volatile boolean endless = true;
    private ServeProcess dispatcher;

    @AfterEach
    void close() throws IOException {
        end.countDown();
        for (TestServer worker : workers) {
            worker.close();
        }
        dispatcher.close();
    }

    private void start() throws Exception {
        String[] entries = new String[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new TestServer(this::answer));
            entries[i] = workers.get(i).entry("s-" + i, "in_service");
        }
        dispatcher = new ServeProcess(folder, LIMITS, entries);
    }

    private void answer(HttpMessage task, TestConnection connection) throws Exception {
        if (!endless) {
            connection.respondDone(task, "ok");
            return;
        }
        String id = "{\"id\":\"" + task.field("X-Txn") + "\",\"state\":\"";
        connection.write("HTTP/1.1 200 OK\r\n\r\n" + id + "started\"}\n" + id + "done\",\"result\":\""
                + "x".repeat(LINE_BYTES));
        end.await();
    }

    private int ask(String id) throws IOException {
        try (TestConnection client = dispatcher.connect()) {
            return client.sendTask(id, "look", "x").read().status();
        }
    }

    /** Guards against unlimited memory for the responses of all workers together, which ends the I/O thread. */
    @Test
    void responsesThatNeverEndLeaveNoTaskWithoutAnAnswer() throws Exception {
        start();
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            clients.add(dispatcher.connect().sendTask("t" + i, "look", "x"));
        }
        long latest = System.nanoTime() + LATEST_ANSWER_MS * NANOS_PER_MILLI;
        for (int i = 0; i < TASKS; i++) {
            int left = (int) Math.max(1, (latest - System.nanoTime()) / NANOS_PER_MILLI);
            try (TestConnection client = clients.get(i).readTimeout(left)) {
                assertTrue(client.read().status() >= 200);
            } catch (IOException e) {
                fail("task " + i + " has no answer: " + e + "\n" + dispatcher.log());
            }
        }
        endless = false;
        TestPeers.until("workers that are sound again are used", () -> ask("n" + System.nanoTime()) == 200);
        assertEquals(-1, dispatcher.log().indexOf("OutOfMemoryError"), dispatcher.log());
    }
}
