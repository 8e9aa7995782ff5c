package rampshift.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestServer;

/** The watch of an agent that is slow, sends too much, sends invalid responses or is unreachable. */
class EndpointWatchFaultTest extends EndpointWatchTestBase {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    /** A change counts as overdue this long after the agent has it and is reachable. */
    private static final long OVERDUE_MILLIS = 6000;

    EndpointWatchFaultTest() throws IOException {}

    /** Starts a watch that stops after the list of a version; called on the I/O thread. */
    private void startWatchUntil(long version, int port, int drainGraceMillis) {
        startWatch(port, drainGraceMillis, () -> {
            if (observed.contains(version)) {
                watch.stop();
            }
        });
    }

    /** Starts a watch that stops after the first list. */
    private void watchOnce(TestServer agent, int drainGraceMillis) throws Exception {
        onThread(() -> startWatch(agent.port(), drainGraceMillis, () -> watch.stop()));
    }

    private static String version(int version) {
        return list(true).replace("REV", String.valueOf(version));
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void writeInSingleBytes(TestConnection connection, String body, int pauseMillis)
            throws Exception {
        connection.write(CHUNKED);
        for (int i = 0; i < body.length(); i++) {
            Thread.sleep(pauseMillis);
            connection.write("1\r\n" + body.charAt(i) + "\r\n");
        }
        connection.write(LAST_CHUNK);
    }

    /**
     * The size limit is exceeded in the middle of a response: the rest of it is ignored, and the next
     * response is read.
     */
    @Test
    void responseOverTheSizeLimitIsDroppedAndTheNextOneIsRead() throws Exception {
        AtomicInteger polls = new AtomicInteger();
        try (TestServer agent = new TestServer(
                (message, connection) -> respond(connection,
                        polls.getAndIncrement() == 0 ? " ".repeat(3 << 20) : version(7)))) {
            watchOnce(agent, 2000);
            until("a list is observed", () -> !observed.isEmpty());
            assertEquals(List.of(7L), observed);
            assertEquals(1, failures());
        }
    }

    /**
     * Guards against one timeout for the whole response, with which a list on a slow link is dropped and
     * requested again forever.
     */
    @Test
    void listThatArrivesInPiecesOverALongTimeIsRead() throws Exception {
        AtomicInteger polls = new AtomicInteger();
        try (TestServer agent = new TestServer((message, connection) -> {
            if (polls.getAndIncrement() == 0) {
                // With a grace of 2 s the response slack is 0.6 s; this whole response takes 0.8 s.
                writeInSingleBytes(connection, version(7), 25);
            }
        })) {
            watchOnce(agent, 2000);
            until("the list is observed", () -> !observed.isEmpty());
            assertEquals(List.of(7L), observed);
            assertEquals(0, failures());
        }
    }

    /**
     * A response without end is dropped early enough for the next one to arrive before an update is overdue.
     */
    @Test
    void responseThatNeverEndsIsDropped() throws Exception {
        AtomicInteger polls = new AtomicInteger();
        try (TestServer agent = new TestServer((message, connection) -> {
            if (polls.getAndIncrement() > 0) {
                respond(connection, version(8));
                return;
            }
            connection.write(CHUNKED);
            while (true) {
                Thread.sleep(10);
                connection.write("1\r\n \r\n");
            }
        })) {
            long startedAt = System.nanoTime();
            watchOnce(agent, 2000);
            until("the next list is observed", () -> !observed.isEmpty());
            assertEquals(List.of(8L), observed);
            long millis = millisSince(startedAt);
            assertTrue(millis < OVERDUE_MILLIS, "the list came after " + millis + " ms");
        }
    }

    /** Guards against rejecting every list over 1 MiB. */
    @Test
    void listOfThousandWorkersWithTheLongestEntriesIndentedIsRead() throws Exception {
        String body = longestList();
        assertTrue(body.length() > 1 << 20, "the list is not over 1 MiB: " + body.length());
        try (TestServer agent = new TestServer((message, connection) -> {
            if (!message.startLine().contains("index=")) {
                respond(connection, body);
            }
        })) {
            watchOnce(agent, 2000);
            until("the list is observed", () -> !observed.isEmpty());
            assertEquals(0, failures());
        }
    }

    private static String longestList() {
        StringBuilder body =
                new StringBuilder("{\n        \"rev\": 7,\n        \"all\": true,\n        \"targets\": [\n");
        String indent = " ".repeat(32);
        for (int i = 0; i < 1024; i++) {
            String name = String.format("%04d", i).repeat(50);
            List<String> fields = List.of("\"uid\": \"" + name + '"',
                    "\"endpoint\": \"255.255.255.255:65535\"",
                    "\"az\": \"" + name + '"', "\"model\": \"" + name + '"', "\"pod_group\": 2147483647",
                    "\"state\": \"in_service\"", "\"capacity_hint\": 1.2345678901234567",
                    "\"boot_ms\": 1764640000000");
            body.append(i == 0 ? "" : ",\n").append("                {\n").append(indent);
            body.append(String.join(",\n" + indent, fields)).append("\n                }");
        }
        return body.append("\n        ]\n}\n").toString();
    }

    /** Responds to a poll with a fault, before the agent has the update. */
    private static void respondWithFault(String fault, TestConnection connection) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: ";
        switch (fault) {
            case "silent" -> {
                // the poll stays open
            }
            case "503" -> connection.respondStatus(503, "");
            case "ended" -> connection.close();
            case "reset" -> connection.disconnect("rst");
            case "cut in the head" -> connection.write("HTTP/1.1 200 O").close();
            case "cut in the body" ->
                connection.write(head + "500\r\n\r\n{\"rev\":5,\"all\":true,\"targ").close();
            case "stuck in the body" -> connection.write(head + "500\r\n\r\n{\"rev\":5,\"all\":true,\"targ");
            case "no json" -> connection.write(head + "3\r\n\r\n{]}");
            case "no list" -> connection.write(head + "2\r\n\r\n{}");
            case "two lengths" -> connection
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}");
            case "no http" -> connection.write("no such thing\r\n\r\n");
            case "single bytes" -> writeInSingleBytes(connection, list(false).replace("REV", "1"), 0);
            default -> throw new IllegalArgumentException(fault);
        }
    }

    /**
     * A change counts as overdue 6 s after the agent has it and is reachable, whatever failed before. The
     * agent fails four polls and then has the update. In the second run, the watch is switched to another
     * address (as on SIGHUP) between the faults.
     */
    @ParameterizedTest
    @CsvSource({"silent", "503", "ended", "reset", "cut in the head", "cut in the body", "stuck in the body",
            "no json", "no list", "two lengths", "no http", "single bytes"})
    void updateIsObservedInTimeAfterFaults(String fault) throws Exception {
        for (boolean switches : new boolean[]{false, true}) {
            observed.clear();
            AtomicInteger polls = new AtomicInteger();
            ServerScript script = (message, connection) -> {
                int number = polls.incrementAndGet();
                if (number > 1 && number <= 5) {
                    respondWithFault(fault, connection);
                } else {
                    respond(connection, version(number == 1 ? 1 : 9));
                }
            };
            try (TestServer first = new TestServer(script); TestServer second = new TestServer(script)) {
                onThread(() -> startWatchUntil(9, first.port(), 250));
                until("the polls fail", () -> polls.get() >= 3);
                long failingSince = System.nanoTime();
                if (switches) {
                    onThread(() -> watch.switchTo(local(second.port())));
                }
                until("the update is observed", () -> observed.contains(9L));
                long millis = millisSince(failingSince);
                assertTrue(millis < OVERDUE_MILLIS,
                        "three more polls failed, and the update came after " + millis + " ms");
            }
        }
    }

    /** Dials are refused or hang, and the outage ends between two attempts. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void updateIsObservedInTimeAfterFailedDials(boolean hangs) throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
            port = free.getLocalPort();
        }
        List<Socket> waiting = new ArrayList<>();
        ServerSocket full = hangs ? new ServerSocket(port, 1, loopback) : null;
        for (int i = 0; hangs && i < 2; i++) {
            waiting.add(new Socket("127.0.0.1", port)); // fills the backlog, so that the next dial hangs
        }
        onThread(() -> startWatch(port, 250, () -> watch.stop()));
        until("two attempts have failed", () -> failures() >= 2);
        long outageEndedAt = System.nanoTime();
        for (Socket socket : waiting) {
            socket.close();
        }
        if (hangs) {
            full.close();
        }
        try (TestServer restarted = TestServer.at(port,
                (message, connection) -> respond(connection, version(9)))) {
            until("the update is observed", () -> observed.contains(9L));
            long millis = millisSince(outageEndedAt);
            assertTrue(millis < OVERDUE_MILLIS,
                    "the outage had ended, and the update came after " + millis + " ms");
        }
    }
}
