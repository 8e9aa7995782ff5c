package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rampshift.HttpMessage;
import rampshift.TestConnection;
import rampshift.TestServer;

/** The graceful shutdown of a whole dispatcher. */
class GracefulShutdownTest extends ServerTestBase {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /**
     * Guards against closing connections at once: during a planned restart, their clients find no other
     * dispatcher.
     */
    @Test
    void stopServesOpenConnectionsThenClosesThemAndAnswersAllTasks() throws Exception {
        CountDownLatch finish = new CountDownLatch(1);
        TestServer worker = worker((task, connection) -> {
            if (task.field("X-Txn").equals("late")) {
                connection.write(CHUNKED_HEAD + "20\r\n{\"id\":\"late\",\"state\":\"started\"}\n\r\n");
            } else {
                finish.await();
                connection.respondDone(task, "ok");
            }
        });
        startServer(worker.entry("s-1", "in_service"));
        TestConnection idle = client();
        TestConnection before = client().sendTask("a", "sell", "x");
        until("the first task is sent", () -> worker.received.size() == 1);
        long startedAt = System.nanoTime();
        Thread stop = new Thread(node::stop);
        stop.start();
        until("the dispatcher is stopping", () -> readyStatus(idle) == 503);
        assertEquals(503, readyStatus(client()), "new clients are accepted");
        TestConnection late = client().sendTask("late", "sell", "x");
        idle.sendTask("b", "look", "x");
        until("the other tasks are sent", () -> worker.received.size() == 3);
        finish.countDown();
        HttpMessage answer = before.read();
        assertEquals(200, answer.status());
        assertNull(answer.field("Connection"), "the connection stays open");
        assertEquals(200, idle.read().status());
        assertEquals(200, before.sendTask("c", "look", "x").read().status());
        assertEquals(504, late.read().status(), "answered before SIGKILL");
        assertTrue(idle.closedByPeer(), "a connection is closed between tasks");
        assertTrue(millisSince(startedAt) > 3000, "connections are served for as long as possible");
        stop.join(20_000);
        assertTrue(millisSince(startedAt) < 3700, "stopped before SIGKILL");
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
