package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Peers that make a dispatcher with the smallest documented memory hold as much as they can. The system
 * properties {@code memory.limit.mb} and {@code memory.limit.sockets} set other limits.
 */
class MemoryLimitTest {
    private static final int SOCKETS = Integer.getInteger("memory.limit.sockets", 1024);
    private static final String LIMITS = "{\"memory_mb\":" + Integer.getInteger("memory.limit.mb", 40)
            + ",\"sockets\":" + SOCKETS + "}";
    private static final int WORKERS = 12;
    private static final int TASKS = SOCKETS * 300 / 1024;
    /** As many as may be connected at once. */
    private static final int CLIENTS = Math.min(500, (SOCKETS - 64) * 53 / 100);
    private static final int RELEASES = 40;
    private static final int WORKERS_PER_RELEASE = 500;
    /** Length of a line that stays incomplete: 300 of them exceed the heap of 18 MB. */
    private static final int LINE_BYTES = 60_000;
    /** Header fields of which a request may have as many, in 15 KB. */
    private static final String FIELDS = fields(55, 260);
    private static final int LATEST_ANSWER_MS = 5_500;
    private static final long NANOS_PER_MILLI = 1_000_000;

    @TempDir
    private Path folder;
    private final CountDownLatch end = new CountDownLatch(1);
    private final List<TestServer> workers = new ArrayList<>();
    private final List<TestConnection> clients = new ArrayList<>();
    private volatile String endlessResponse = "";
    private ServeProcess dispatcher;

    /** What clients send and do not complete. */
    enum IncompleteRequest {
        HEAD("POST /api HTTP/1.1\r\n" + FIELDS), CHUNKED_BODY(
                "POST /api HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "1\r\nx\r\n".repeat(20_000)), BODY(
                                "POST /api HTTP/1.1\r\n" + FIELDS + "Content-Length: 65000\r\n\r\n"
                                        + "x".repeat(64_000));

        private final String text;

        IncompleteRequest(String text) {
            this.text = text;
        }
    }

    /** What workers send and do not complete. */
    enum IncompleteResponse {
        HEAD("HTTP/1.1 200 OK\r\n" + fields(63, 8_000)), LINE(
                "HTTP/1.1 200 OK\r\n\r\n{\"id\":\"TXN\",\"state\":\"started\"}\n"
                        + "{\"id\":\"TXN\",\"state\":\"done\",\"result\":\"" + "x".repeat(LINE_BYTES));

        private final String text;

        IncompleteResponse(String text) {
            this.text = text;
        }
    }

    private static String fields(int count, int length) {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < count; i++) {
            fields.append("X-Field-").append(i).append(": ").append("v".repeat(length)).append("\r\n");
        }
        return fields.toString();
    }

    @BeforeEach
    void start() throws Exception {
        String[] entries = new String[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new TestServer(this::answer));
            entries[i] = workers.get(i).entry("s-" + i, "in_service");
        }
        dispatcher = new ServeProcess(folder, LIMITS, entries);
    }

    @AfterEach
    void close() throws IOException {
        end.countDown();
        for (TestServer worker : workers) {
            worker.close();
        }
        for (TestConnection client : clients) {
            client.close();
        }
        dispatcher.close();
    }

    private void answer(HttpMessage task, TestConnection connection) throws Exception {
        if (endlessResponse.isEmpty()) {
            connection.respondDone(task, "ok");
            return;
        }
        connection.write(endlessResponse.replace("TXN", task.field("X-Txn")));
        end.await();
    }

    private int ask(String id) throws IOException {
        try (TestConnection client = dispatcher.connect()) {
            return client.sendTask(id, "look", "x").read().status();
        }
    }

    private void assertEachClientIsAnsweredInTime() throws IOException {
        long latest = System.nanoTime() + LATEST_ANSWER_MS * NANOS_PER_MILLI;
        for (TestConnection client : clients) {
            int left = (int) Math.max(1, (latest - System.nanoTime()) / NANOS_PER_MILLI);
            try {
                assertTrue(client.readTimeout(left).read().status() >= 200);
            } catch (IOException e) {
                fail("a task has no answer: " + e + "\n" + dispatcher.log());
            }
        }
    }

    private void assertServing() throws Exception {
        TestPeers.until("workers that are sound are used", () -> ask("n" + System.nanoTime()) == 200);
        assertTrue(dispatcher.process().isAlive());
        assertEquals(-1, dispatcher.log().indexOf("OutOfMemoryError"), dispatcher.log());
    }

    /** Guards against unlimited memory for the responses of all workers, which ends the I/O thread. */
    @ParameterizedTest
    @EnumSource(IncompleteResponse.class)
    void responsesThatNeverEndLeaveNoTaskWithoutAnAnswer(IncompleteResponse response) throws Exception {
        endlessResponse = response.text;
        for (int i = 0; i < TASKS; i++) {
            clients.add(dispatcher.connect().sendTask("t" + i, "look", "x"));
        }
        assertEachClientIsAnsweredInTime();
        endlessResponse = "";
        assertServing();
    }

    /** Guards against memory for incomplete requests that is not counted, such as that of their heads. */
    @ParameterizedTest
    @EnumSource(IncompleteRequest.class)
    void requestsThatNeverEndLeaveRoomForOthers(IncompleteRequest request) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(dispatcher.connect());
            try {
                clients.get(i).write(request.text);
            } catch (IOException e) {
                // The dispatcher has rejected the request and closed the connection.
            }
        }
        assertServing();
    }

    /** Guards against counting the message of a task, but not its header fields in the HTTP server. */
    @Test
    void tasksInFlightWithManyHeaderFieldsAreAllAnswered() throws Exception {
        endlessResponse = "HTTP/1.1 200 OK\r\n";
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(dispatcher.connect().write("POST /api HTTP/1.1\r\nX-Txn: t" + i
                    + "\r\nX-Lane: look\r\nX-Remaining: 5.0\r\nContent-Length: 0\r\n" + FIELDS + "\r\n"));
        }
        assertEachClientIsAnsweredInTime();
        endlessResponse = "";
        assertServing();
    }

    /**
     * Guards against keeping each worker that was ever listed: releases that replace all workers fill the
     * heap in the long run, and a discovery service that renames them within seconds.
     */
    @Test
    void workersThatHaveLongBeenReplacedAreForgotten() throws Exception {
        List<String> lists = new ArrayList<>();
        for (int i = 0; i < RELEASES; i++) {
            String[] entries = new String[WORKERS_PER_RELEASE];
            for (int k = 0; k < WORKERS_PER_RELEASE; k++) {
                entries[k] = workers.get(0).entry("r-" + i + "-" + k, "in_service");
            }
            lists.add(TestPeers.list(true, entries));
        }
        List<String> released = Collections.synchronizedList(new ArrayList<>(lists.subList(0, 1)));
        dispatcher.close();
        try (TestServer discovery = TestDiscovery.start(released)) {
            dispatcher = ServeProcess.watching(discovery, folder, LIMITS);
            released.addAll(lists.subList(1, RELEASES));
            TestPeers.until("all lists are read",
                    () -> discovery.received.get(discovery.received.size() - 1).startLine()
                            .contains("index=" + RELEASES + "&") || !dispatcher.process().isAlive());
            assertServing();
        }
    }
}
