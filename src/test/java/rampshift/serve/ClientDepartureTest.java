package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;

/**
 * A client disconnects while the dispatcher has its task in flight. An attempt in flight must be canceled and
 * no further one sent, even if the dispatcher reads the end of the connection late: after pipelined requests,
 * during a dial, or because the I/O thread was busy.
 */
class ClientDepartureTest extends ConnectionTestBase {
    private static final int MANY_REQUESTS = 6;
    private static final int LARGE_BODY_BYTES = 60_000;
    /** Number of unaccepted connections that fill the backlog. */
    private static final int BACKLOG_CONNECTIONS = 2;
    private static final String ENTRY_AT_PORT =
            "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:PORT\",\"az\":\"a\",\"model\":\"m\","
                    + "\"pod_group\":1,\"state\":\"in_service\",\"capacity_hint\":4.0,\"boot_ms\":0}";
    /** Longer than the time until an attempt is due. */
    private static final int BUSY_MS = 60;
    /** Longer than the delay until sent bytes can be read. */
    private static final int ARRIVAL_MS = 20;
    /**
     * Longer than the time for which the last byte of a non-idempotent task is held on a reused connection.
     */
    private static final int LAST_BYTE_HOLD_MS = 200;

    /** What a client sends after its task before it disconnects. */
    enum Pipelined {
        NOTHING, PART_OF_A_REQUEST, ONE_REQUEST, MANY_REQUESTS
    }

    /**
     * Guards against a dispatcher that stops reading after a complete pipelined request and misses the
     * disconnect.
     */
    @ParameterizedTest
    @CsvSource({"fin,NOTHING", "rst,NOTHING", "fin,PART_OF_A_REQUEST", "fin,ONE_REQUEST", "rst,ONE_REQUEST",
            "fin,MANY_REQUESTS", "rst,MANY_REQUESTS"})
    void disconnectIsDetectedAfterAnyPipelinedInput(String closeType, Pipelined pipelined) throws Exception {
        TestServer worker = neverFinishingWorker();
        startServer(worker);
        TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
        awaitFirstTask(worker);
        send(client, pipelined);
        client.disconnect(closeType);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
        assertEquals(1, worker.received.size(), "pipelined requests are not sent to a worker");
        assertEquals(1, count("client_gone"));
    }

    private static void send(TestConnection client, Pipelined pipelined) throws Exception {
        switch (pipelined) {
            case PART_OF_A_REQUEST ->
                client.write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: h\r\nContent-Le");
            case ONE_REQUEST -> client.sendTask("b", IDEMPOTENT, "x");
            case MANY_REQUESTS -> {
                for (int i = 0; i < MANY_REQUESTS; i++) {
                    client.sendTask("b" + i, IDEMPOTENT, "x".repeat(LARGE_BODY_BYTES));
                }
            }
            default -> {
            }
        }
    }

    /** A task that waits for the first endpoint list is dropped when its client disconnects. */
    @Test
    void taskWaitingForTheListIsNotSentAfterADisconnect() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        TestServer worker = neverFinishingWorker();
        TestServer agent = worker((message, connection) -> {
            respond.await();
            if (!message.startLine().contains("index=")) {
                respond(connection, listOf(worker).replace("REV", "1"));
            }
        });
        node = new DispatcherServer(parse(TestPeers.configuration(agent, listOf(worker), LIMITS)));
        client().sendTask("t", IDEMPOTENT, "x").disconnect(FIN);
        until("the dispatcher detects the disconnect", () -> count("client_gone") == 1);
        assertEquals(0, worker.received.size());
        respond.countDown();
        until("the list is received", () -> count("lists_whole") > 0);
        client().sendTask("next", IDEMPOTENT, "x");
        until("the next task is at the worker", () -> !worker.received.isEmpty());
        assertEquals("next", worker.received.get(0).field("X-Txn"));
    }

    /**
     * The worker's backlog is full, so the dial would complete only after the worker accepts a connection.
     */
    @Test
    void taskIsNotSentAfterADisconnectDuringTheDial() throws Exception {
        try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
                closeables.add(new Socket(busy.getInetAddress(), busy.getLocalPort()));
            }
            String entry = ENTRY_AT_PORT.replace("PORT", String.valueOf(busy.getLocalPort()));
            node = new DispatcherServer(parse(TestPeers.configuration(null, list(true, entry), LIMITS)
                    .replace("\"DialTimeoutMs\":500", "\"DialTimeoutMs\":20000")));
            node.awaitReady();
            TestConnection client = client().sendTask("t", NON_IDEMPOTENT, "x");
            until("the worker is dialed", () -> count("dialed") == 1);
            assertEquals(0, count("outcome_not_sent"));
            client.disconnect(RST);
            until("the dial is canceled", () -> count("outcome_not_sent") == 1);
            assertEquals(1, count("client_gone"));
        }
    }

    /** The disconnect is unread: the I/O thread is busy from before the close until an attempt is due. */
    @ParameterizedTest
    @ValueSource(strings = {FIN, RST})
    void noAttemptStartsAfterADisconnect(String closeType) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        replaceFirstByteHook(check -> {
            runUnchecked(() -> client.disconnect(closeType));
            busyWait(BUSY_MS);
            check.run();
        });
        client.sendTask("t", IDEMPOTENT, "x");
        awaitClientGone();
        assertEquals(0, worker.received.size());
        assertEquals(1, count("first_byte_held_back"));
    }

    /**
     * Guards against sending a task whose client disconnected while its connection waited in the backlog.
     * With many idle clients on a quarter of a core, the task was read and sent 0.66 s after the close,
     * before the end of the input was read.
     */
    @Test
    void taskThatIsReadAfterADisconnectIsNotSent() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        // Opens a worker connection, so that the next task could be sent at once.
        assertEquals(200, client().sendTask("before", IDEMPOTENT, "x").read().status());
        SlowClient client = slowClient();
        client.clientEnd().sendTask("t", IDEMPOTENT, "x").disconnect(FIN);
        runOnThread(() -> {
            busyWait(ARRIVAL_MS);
            node.dispatcher.clientListener.serve(client.serverEnd());
        });
        awaitClientGone();
        assertEquals(1, worker.received.size());
    }

    /**
     * The last byte of a non-idempotent task is held briefly on a reused connection, since a late response
     * might still arrive there. The client disconnects during the hold, which ends before the sockets are
     * read.
     */
    @Test
    void lastByteIsNotSentAfterADisconnect() throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        TestConnection client = client();
        replaceFirstByteHook(check -> {
            check.run();
            node.thread.execute(() -> {     // runs once all but the last byte has been written
                runUnchecked(() -> client.disconnect(RST));
                busyWait(LAST_BYTE_HOLD_MS);
            });
        });
        client.sendTask("t", NON_IDEMPOTENT, "x");
        awaitClientGone();
        assertEquals(0, worker.received.size());
    }
}
