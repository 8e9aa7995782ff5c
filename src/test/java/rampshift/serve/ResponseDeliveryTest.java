package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.HttpMessage;
import rampshift.TestConnection;
import rampshift.TestDiscovery;
import rampshift.TestServer;
import rampshift.clients.StatusPage;

/**
 * A client receives each response completely, however slowly it reads and whatever it sends meanwhile. A
 * reset of its connection, or a partial write that is not continued, would truncate the response; the tests
 * force both with small buffers and with conduits between the dispatcher and the socket.
 */
class ResponseDeliveryTest extends ConnectionTestBase {
    /** Far more than the buffers of a slow client's connection. */
    private static final int LARGE_RESPONSE_BYTES = 60_000;
    private static final String LARGE_TEXT = "r".repeat(LARGE_RESPONSE_BYTES);
    private static final int MAX_CLIENT_CONNECTIONS = 22;
    private static final String MEMORY_FOR_ONE_RESPONSE = "{\"memory_mb\":1,\"sockets\":256}";
    /** Longer than the delay until sent bytes can be read. */
    private static final int ARRIVAL_MS = 20;
    /** Longer than the minimum time for which a closing connection stays open without further input. */
    private static final int BEYOND_MIN_CLOSING_TIME_MS = 40;
    private static final String NO_SUCH_TEXT = "[no such text]";
    private static final int TAIL_CHARS = 20;
    private static final String TASK_ON_LAST_REQUEST =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nX-Lane: sell\r\nX-Remaining: 5.0\r\n"
                    + "Connection: close\r\nContent-Length: 1\r\n\r\nx";
    private static final String HEAD_THAT_EXPECTS_CONTINUE =
            "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: ID\r\nX-Lane: look\r\n"
                    + "X-Remaining: 5\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";

    /** Writes a few bytes at a time, and none every other time, like a socket with a full send buffer. */
    private static final class PartialWriteSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
        private final int maxBytes;
        private boolean full;

        PartialWriteSink(StreamSinkConduit next, int maxBytes) {
            super(next);
            this.maxBytes = maxBytes;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            full = !full;
            if (full) {
                return 0;
            }
            int limit = from.limit();
            from.limit(Math.min(limit, from.position() + maxBytes));
            int count = next.write(from);
            from.limit(limit);
            return count;
        }

        @Override
        public long write(ByteBuffer[] from, int offset, int count) throws IOException {
            for (int i = offset; i < offset + count; i++) {
                if (from[i].hasRemaining()) {
                    return write(from[i]);
                }
            }
            return 0;
        }
    }

    /** Runs a step once after a read without input, which is between the last read and the close. */
    private static final class StepAfterEmptyRead extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private Step step;

        StepAfterEmptyRead(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            int count = next.read(to);
            if (count == 0 && step != null) {
                Step due = step;
                step = null;
                runUnchecked(due);
            }
            return count;
        }
    }

    /** Returns a client to which the dispatcher can write only a number of bytes at a time. */
    private TestConnection partialWriteClient(int maxBytes) throws Exception {
        SlowClient client = slowClient();
        runOnThread(() -> {
            client.serverEnd().getSinkChannel()
                    .setConduit(new PartialWriteSink(client.serverEnd().getSinkChannel().getConduit(),
                            maxBytes));
            node.dispatcher.clientListener.serve(client.serverEnd());
        });
        return client.clientEnd();
    }

    /**
     * A connection that still sends its last response is closed for the connection limit. Guards against
     * closing it with unread input, which causes a reset, so that the client loses the rest of the response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: next\r\n"})
    void clientClosedForTheLimitReadsItsCompleteResponse(String sentMeanwhile) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        TestServer worker = workerReleasedBy(release, LARGE_TEXT);
        node = node(null, listOf(worker), FEW_DESCRIPTORS);
        SlowClient client = slowClient();
        serve(client);
        client.clientEnd().write(TASK_ON_LAST_REQUEST);
        awaitFirstTask(worker);
        for (int i = 1; i < MAX_CLIENT_CONNECTIONS; i++) {
            client();
        }
        until("the connection limit is reached", () -> clientConnectionCount() == MAX_CLIENT_CONNECTIONS);
        release.countDown();
        until("the response is written", () -> taskCount() == 0);
        SlowClient next = slowClient();
        runOnThread(() -> {
            client.clientEnd().write(sentMeanwhile);      // not read before the next client connects
            busyWait(BEYOND_MIN_CLOSING_TIME_MS);
            node.dispatcher.clientListener.serve(next.serverEnd());
        });
        assertEquals(LARGE_TEXT, client.clientEnd().read().text());
    }

    /**
     * A request arrives between the last read of an idle connection and its close. Guards against a close by
     * reset, after which a client that is still reading the preceding response loses the part in the kernel's
     * buffers.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatCrossesTheCloseDoesNotTruncateThePrecedingResponse(boolean atShutdown) throws Exception {
        node = node(null, list(true), LIMITS);
        SlowClient client = slowClient();
        StepAfterEmptyRead source =
                new StepAfterEmptyRead(client.serverEnd().getSourceChannel().getConduit());
        runOnThread(() -> {
            node.dispatcher.clientListener.addPage("/long", () -> new StatusPage(200, LARGE_TEXT));
            client.serverEnd().getSourceChannel().setConduit(source);
            node.dispatcher.clientListener.serve(client.serverEnd());
        });
        client.clientEnd().write("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("H", client.clientEnd().readUntil("H"));     // the kernel has the whole response
        CountDownLatch crossed = new CountDownLatch(1);
        runOnThread(() -> {
            source.step = () -> {
                client.clientEnd().sendTask("t", IDEMPOTENT, "x");
                busyWait(ARRIVAL_MS);
                crossed.countDown();
            };
            if (atShutdown) {
                node.dispatcher.stopAcceptingRequests();
            }
        });
        crossed.await();
        String answer = client.clientEnd().readUntil(NO_SUCH_TEXT);
        assertTrue(answer.endsWith("\r\n\r\n" + LARGE_TEXT + "[END]"),
                answer.length() + " bytes, " + tail(answer));
        assertEquals(0, count("taken"), "input after the shutdown of the output is dropped");
    }

    private static String tail(String text) {
        return "and it ends in " + text.substring(Math.max(0, text.length() - TAIL_CHARS));
    }

    /**
     * Guards against a rejection that is written only once, so that the bytes that the socket does not accept
     * are lost.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void rejectedClientReadsTheCompleteReason(int maxBytes) throws Exception {
        node = node(null, list(true), LIMITS);
        HttpMessage answer = partialWriteClient(maxBytes).write("no call at all\r\n\r\n").read();
        assertEquals(400, answer.status());
        assertEquals("invalid method, or body longer than declared\n", answer.text());
    }

    /**
     * Guards against writing the head of the response after a part of the interim response, which corrupts
     * both.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void interimResponseIsCompleteBeforeTheFinalResponse(int maxBytes) throws Exception {
        TestServer worker = finishingWorker();
        startServer(worker);
        // The client sends the body at once: the request is complete before the interim response is written.
        TestConnection client = partialWriteClient(maxBytes)
                .write(HEAD_THAT_EXPECTS_CONTINUE.replace("ID", "b"))
                .write("abc");
        HttpMessage first = client.read();
        if (first.status() == 100) {    // sent only if the head was received without the body
            first = client.read();
        }
        assertEquals(200, first.status());
        assertEquals("ok", first.text());
        // The client sends the body after the beginning and before the end of the interim response.
        client.write(HEAD_THAT_EXPECTS_CONTINUE.replace("ID", "c"));
        assertEquals("H", client.readUntil("H"));
        client.write("abc");
        assertEquals("TTP/1.1 100 Continue\r\n\r\n", client.readUntil("\r\n\r\n"));
        assertEquals("ok", client.read().text());
    }

    /** Guards against Nagle's algorithm, which delays small writes; a reset loses the delayed bytes. */
    @Test
    void nagleAlgorithmIsDisabledOnEverySocket() throws Exception {
        TestServer worker = finishingWorker();
        TestServer agent = TestDiscovery.start(List.of(listOf(worker)));
        closeables.add(agent);
        node = node(agent, listOf(worker), LIMITS);
        node.awaitReady();
        assertEquals(200, client().sendTask("t", IDEMPOTENT, "x").read().status());
        until("the watch is connected", () -> onThread(() -> field(node, "watch", "connection")) != null);
        for (StreamConnection socket : onThread(this::sockets)) {
            assertEquals(true, socket.getOption(Options.TCP_NODELAY), socket.toString());
        }
    }

    /** Returns the sockets of the one client, of the idle connection to the worker, and of the watch. */
    private List<StreamConnection> sockets() throws ReflectiveOperationException {
        List<StreamConnection> sockets = new ArrayList<>();
        Map<?, ?> clients = (Map<?, ?>) field(node.dispatcher.clientListener, "table", "connections");
        clients.keySet().forEach(socket -> sockets.add((StreamConnection) socket));
        assertEquals(1, sockets.size(), "of clients");
        for (Object endpoint : ((Map<?, ?>) field(node.dispatcher, "pool", "endpoints")).values()) {
            for (Object idleConnection : (Collection<?>) field(endpoint, "idleConnections")) {
                sockets.add((StreamConnection) field(idleConnection, "connection", "channel"));
            }
        }
        assertEquals(2, sockets.size(), "of clients and workers");
        sockets.add((StreamConnection) field(node, "watch", "connection", "channel"));
        return sockets;
    }

    /** Returns the value at the end of a path of fields, which may be private. */
    private static Object field(Object start, String... names) throws ReflectiveOperationException {
        Object value = start;
        for (String name : names) {
            Field field = value.getClass().getDeclaredField(name);
            field.setAccessible(true);
            value = field.get(value);
        }
        return value;
    }

    /**
     * Guards against unlimited memory for responses that clients do not read: the one that has been written
     * for the longest time is dropped with its connection.
     */
    @Test
    void theSlowestReaderGivesWayWhenTheMemoryForResponsesIsExhausted() throws Exception {
        TestServer worker = worker((task, connection) -> connection.respondDone(task, LARGE_TEXT));
        node = node(null, list(true, worker.entry("s-1", IN_SERVICE)), MEMORY_FOR_ONE_RESPONSE);
        SlowClient first = slowClient();
        first.serverEnd().getSinkChannel()
                .setConduit(new PartialWriteSink(first.serverEnd().getSinkChannel().getConduit(), 0));
        serve(first);
        first.clientEnd().sendTask("a", IDEMPOTENT, "x");
        until("the first response is ready", () -> count("finished") == 1);
        SlowClient second = slowClient();
        serve(second);
        second.clientEnd().sendTask("b", IDEMPOTENT, "x");
        until("the second response is ready", () -> count("finished") == 2);
        assertEquals(LARGE_TEXT, second.clientEnd().read().text());
        String received = first.clientEnd().readUntil(NO_SUCH_TEXT);
        assertTrue(received.length() < LARGE_RESPONSE_BYTES, "the connection ends within the response");
    }
}
