package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import rampshift.TestConnection;
import rampshift.TestServer;

/**
 * A client states the time that is left for its task when it sends it. The dispatcher must count that time
 * from the arrival of the request: counted from later, the worker is told more than the client has; counted
 * from earlier, less. The tests let the time itself pass, since that is what they measure.
 */
class RequestDeadlineTest extends ConnectionTestBase {
    private static final long DELAY_MS = 400;
    /** Of a request whose deadline is over within that delay. */
    private static final String SHORT_REQUEST = "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: c\r\n"
            + "X-Lane: look\r\nX-Remaining: 0.3\r\nContent-Length: 1\r\n\r\nx";
    /** Of the 5 s that {@link TestConnection#sendTask} states, what is left after the delay at most. */
    private static final double MAX_SECONDS_AFTER_DELAY = 4.65;
    /** Of the same 5 s, what is left at least where the delay must not count. */
    private static final double MIN_SECONDS_WITHOUT_DELAY = 4.7;

    /** The time of a pipelined request was once counted from its turn, and the worker was told so. */
    @Test
    void deadlineOfAPipelinedRequestCountsFromItsArrival() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerHeldBy(release, "ok");
        startServer(worker);
        TestConnection client = client().sendTask("a", IDEMPOTENT, "x").sendTask("b", IDEMPOTENT, "x")
                .write(SHORT_REQUEST);
        awaitFirstTask(worker);
        Thread.sleep(DELAY_MS);
        release.countDown();
        assertEquals(200, client.read().status());
        assertEquals(200, client.read().status());
        assertEquals(503, client.read().status());
        assertEquals(2, worker.received.size());
        double told = secondsToldToWorker(worker, 1);
        assertTrue(told < MAX_SECONDS_AFTER_DELAY,
                "of 5 s, 0.4 s after its arrival, the worker is told " + told);
    }

    /** The time between the connection and its first request was once counted against that request. */
    @Test
    void deadlineOfAFirstRequestCountsFromItsBytesNotFromTheConnection() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        until("the connection is accepted", () -> clientConnectionCount() == 1);
        Thread.sleep(DELAY_MS);
        assertEquals(200, client.sendTask("t", IDEMPOTENT, "x").read().status());
        double told = secondsToldToWorker(worker, 0);
        assertTrue(told > MIN_SECONDS_WITHOUT_DELAY, "of 5 s the worker is told " + told);
    }

    private static double secondsToldToWorker(TestServer worker, int index) {
        return Double.parseDouble(worker.received.get(index).field("X-Remaining"));
    }
}
