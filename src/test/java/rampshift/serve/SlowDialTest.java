package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.HttpMessage;
import rampshift.TestConnection;
import rampshift.TestDiscovery;
import rampshift.TestPeers;
import rampshift.TestServer;

/**
 * Dials of a worker whose backlog is full, which complete a second late, after it has accepted the waiting
 * connections.
 */
class SlowDialTest extends ServerTestBase {
    private static final String LIMITS = "{\"memory_mb\":192,\"sockets\":1024}";
    private static final String SECOND = "{\"uid\":\"s-2\",\"endpoint\":\"127.0.0.1:PORT\",\"az\":\"a\","
            + "\"model\":\"m\",\"pod_group\":1,\"state\":\"in_service\",\"capacity_hint\":4.0,\"boot_ms\":0}";

    /**
     * The first worker fails the task and drains; the connection to the second is established after the
     * deduplication window or within it.
     */
    @ParameterizedTest
    @CsvSource({"300,cell,504", "300,all,503", "20000,cell,200"})
    void retryIsSentOnlyWithinItsWindowHoweverLateItsConnectionIsUp(int windowMillis, String group,
            int status)
            throws Exception {
        try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 2; i++) {
                closeables.add(new Socket(busy.getInetAddress(), busy.getLocalPort()));
            }
            startServer(busy.getLocalPort(), windowMillis, group);
            TestConnection client =
                    client().write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nX-Lane: mark\r\n"
                            + "X-Remaining: 5.0\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx");
            until("the second worker is dialed", () -> count("dialed") == 2);
            for (int i = 0; i < 2; i++) {
                closeables.add(busy.accept());
            }
            busy.setSoTimeout(20_000);
            TestConnection second = new TestConnection(busy.accept());
            closeables.add(second);
            if (status == 200) {
                HttpMessage task = second.read();
                double left = Double.parseDouble(task.field("X-Remaining"));
                assertTrue(left > 1 && left < 4.5, "remaining time after the dial: " + left);
                second.respondDone(task, "r");
            } else {
                assertEquals("[END]", second.readUntil("\n"), "nothing may be sent");
            }
            assertEquals(status, client.read().status());
            assertEquals(2, count("dialed"), "each attempt dials once");
            assertEquals(status == 200 ? 0 : 1, count("outcome_not_sent"));
        }
    }

    /**
     * Starts a dispatcher whose first worker fails a task once the list has a second worker, at a port, in
     * its place.
     */
    private void startServer(int secondPort, int windowMillis, String group) throws Exception {
        String second = SECOND.replace("PORT", String.valueOf(secondPort));
        List<String> versions = Collections.synchronizedList(new ArrayList<>());
        TestServer[] first = new TestServer[1];
        first[0] = worker((task, connection) -> {
            versions.add(list(false, first[0].entry("s-1", "terminating"), second));
            until("the list is received", () -> count("lists_changes") == 1);
            connection.write("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        });
        versions.add(list(true, first[0].entry("s-1", "in_service")));
        TestServer agent = TestDiscovery.start(versions);
        closeables.add(agent);
        String window = "\"" + group + "\",\"WindowMs\":" + windowMillis;
        node = new DispatcherServer(parse(TestPeers.configuration(agent, list(true), LIMITS)
                .replace("\"DialTimeoutMs\":500", "\"DialTimeoutMs\":20000")
                .replace("\"cell\",\"WindowMs\":4000", window)));
        node.awaitReady();
    }
}
