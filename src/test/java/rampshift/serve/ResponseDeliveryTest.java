package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
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
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.clients.StatusPage;
import rampshift.settings.Configuration;
import rampshift.time.NextTick;

/**
 * Whoever hands in a task gets its complete answer, or is told plainly that it was not taken, and in time.
 */
class ResponseDeliveryTest extends ServerTestBase {
    private static final String LIMITS = "{\"memory_mb\":192,\"sockets\":1024}";
    /** 22 clients stay, and 2 more are taken. */
    private static final String FEW = "{\"memory_mb\":192,\"sockets\":104}";

    /** A way to the client that takes so few bytes at a time, and none every other time. */
    private static final class Narrow extends AbstractStreamSinkConduit<StreamSinkConduit> {
        private final int width;
        private boolean full;

        Narrow(StreamSinkConduit next, int width) {
            super(next);
            this.width = width;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            full = !full;
            if (full) {
                return 0;
            }
            int limit = from.limit();
            from.limit(Math.min(limit, from.position() + width));
            int count = next.write(from);
            from.limit(limit);
            return count;
        }

        @Override
        public long write(ByteBuffer[] from, int at, int count) throws IOException {
            for (int i = at; i < at + count; i++) {
                if (from[i].hasRemaining()) {
                    return write(from[i]);
                }
            }
            return 0;
        }
    }

    private TestConnection narrow(int width) throws Exception {
        Slow slow = slow();
        onThread(() -> {
            slow.connection().getSinkChannel()
                    .setConduit(new Narrow(slow.connection().getSinkChannel().getConduit(), width));
            node.dispatcher.clientListener.serve(slow.connection());
            return null;
        });
        return slow.line();
    }

    // ---- closes that could swallow an answer

    /**
     * An ending client made room at once and without a last read, with bytes of its own unread;
     * that close is a
     * reset, and what its kernel had not taken of the answer went with it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: next\r\n"})
    void clientThatMakesRoomStillReadsItsCompleteAnswer(String sentOn) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        String result = "r".repeat(60_000);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, result);
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), FEW);
        Slow client = slow();
        onThread(() -> {
            node.dispatcher.clientListener.serve(client.connection());
            return null;
        });
        client.line().write(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nX-Lane: sell\r\nX-Remaining: 5.0\r\n"
                        + "Connection: close\r\n"
                        + "Content-Length: 1\r\n\r\nx");
        until("it is out", () -> worker.received.size() == 1);
        for (int i = 0; i < 21; i++) {
            client();
        }
        until("all places are taken",
                () -> onThread(() -> node.dispatcher.clientListener.connectionCount()) == 22);
        go.countDown();
        until("its answer is written", () -> onThread(() -> node.dispatcher.tasks.size()) == 0);
        Slow last = slow();
        onThread(() -> {
            client.line().write(sentOn);      // nobody reads it before the place is needed
            stand(40);
            node.dispatcher.clientListener.serve(last.connection());
            return null;
        });
        assertEquals(result, client.line().read().text());
    }

    /** A source that runs something, once, after a read that found nothing. */
    private static final class AfterEmptyRead extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private Runnable then;

        AfterEmptyRead(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            int count = next.read(to);
            if (count == 0 && then != null) {
                Runnable now = then;
                then = null;
                now.run();
            }
            return count;
        }
    }

    /**
     * A request comes between the last look at an idle connection and its close. That made the close a
     * reset, and the client, which was still reading the answer before, lost what the kernel held of it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatCrossesTheCloseLeavesTheAnswerBeforeItComplete(boolean lastCall) throws Exception {
        node = node(null, list(true), LIMITS);
        String text = "r".repeat(60_000);
        Slow client = slow();
        AfterEmptyRead source = new AfterEmptyRead(client.connection().getSourceChannel().getConduit());
        onThread(() -> {
            node.dispatcher.clientListener.addPage("/long", () -> new StatusPage(200, text));
            client.connection().getSourceChannel().setConduit(source);
            node.dispatcher.clientListener.serve(client.connection());
            return null;
        });
        client.line().write("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals("H", client.line().readUntil("H"));     // all of it is in the kernel then
        CountDownLatch crossed = new CountDownLatch(1);
        onThread(() -> {
            source.then = () -> {
                try {
                    client.line().sendTask("t", "look", "x");
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                stand(20);
                crossed.countDown();
            };
            if (lastCall) {
                node.dispatcher.closeToRequests();
            }
            return null;
        });
        crossed.await();
        String answer = client.line().readUntil("[no such text]");
        assertTrue(answer.endsWith("\r\n\r\n" + text + "[END]"), answer.length() + " bytes, " + tail(answer));
        assertEquals(0, count("taken"), "and what is read after the output was shut goes nowhere");
    }

    private static String tail(String text) {
        return "and it ends in " + text.substring(Math.max(0, text.length() - 20));
    }

    /** Written once, and what the client's buffer did not take of it was left out. */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void refusedClientReadsTheCompleteReason(int width) throws Exception {
        node = node(null, list(true), LIMITS);
        HttpMessage answer = narrow(width).write("no call at all\r\n\r\n").read();
        assertEquals(400, answer.status());
        assertEquals("no call, or more bytes than its length said\n", answer.text());
    }

    /** Half an interim response before the answer's head makes nonsense of both. */
    @ParameterizedTest
    @ValueSource(ints = {1, 20})
    void clientThatExpectsContinueReadsAllOfItAndThenItsAnswer(int width) throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        // Body and all at once: its request is complete before the interim response is written.
        TestConnection client =
                narrow(width).write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: b\r\nX-Lane: look\r\n"
                        + "X-Remaining: 5\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n").write("abc");
        HttpMessage first = client.read();
        if (first.status() == 100) {    // said only if the head came by itself
            first = client.read();
        }
        assertEquals(200, first.status());
        assertEquals("ok", first.text());
        // The body comes after the interim response was begun, and before it is all written.
        client.write(
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: c\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                        + "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        assertEquals("H", client.readUntil("H"));
        client.write("abc");
        assertEquals("TTP/1.1 100 Continue\r\n\r\n", client.readUntil("\r\n\r\n"));
        assertEquals("ok", client.read().text());
    }

    /**
     * Whoever had connected 0.1 s before the shutdown closed idle connections was closed unread, also in
     * the midst of its request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "POST /api HTTP/1.1\r\nHost: a\r\n"})
    void clientThatIsAboutToSendARequestAtShutdownIsAnswered(String begun) throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().write(begun);
        until("it is taken in", () -> onThread(() -> node.dispatcher.clientListener.connectionCount()) == 1);
        onThread(() -> {
            stand(120);
            node.dispatcher.closeToRequests();
            return null;
        });
        client.write("POST /api HTTP/1.1\r\nHost: a\r\n".substring(begun.length())
                + "X-Txn: t\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                + "Content-Length: 1\r\n\r\nx");
        assertEquals(503, client.read().status());
    }

    /** What the system holds back of a small write is lost with a reset: no socket here has it do so. */
    @Test
    void smallWritesAreSentAtOnceOnEverySocket() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        String known = list(true, worker.entry("s-1", "in_service"));
        TestServer agent = TestDiscovery.start(List.of(known));
        open.add(agent);
        node = node(agent, known, LIMITS);
        node.awaitReady();
        assertEquals(200, client().sendTask("t", "look", "x").read().status());
        until("its watch is open", () -> onThread(() -> field(field(node, "watch"), "connection")) != null);
        List<StreamConnection> sockets = onThread(() -> {
            List<StreamConnection> all = new ArrayList<>();
            ((Map<?, ?>) field(field(node.dispatcher.clientListener, "table"), "connections")).keySet()
                    .forEach(c -> all.add((StreamConnection) c));
            assertEquals(1, all.size(), "of clients");
            for (Object place : ((Map<?, ?>) field(field(node.dispatcher, "pool"), "endpoints")).values()) {
                for (Object kept : (Collection<?>) field(place, "idleConnections")) {
                    all.add((StreamConnection) field(field(kept, "connection"), "channel"));
                }
            }
            assertEquals(2, all.size(), "with that to the worker");
            all.add((StreamConnection) field(field(field(node, "watch"), "connection"), "channel"));
            return all;
        });
        for (StreamConnection socket : sockets) {
            assertEquals(true, socket.getOption(Options.TCP_NODELAY), socket.toString());
        }
    }

    private static Object field(Object of, String name) throws ReflectiveOperationException {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }

    // ---- whose time it is

    /**
     * The time of a request that waited behind another counted from its turn, and its worker was
     * told so.
     */
    @Test
    void deadlineOfAPipelinedRequestCountsFromItsArrival() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, "ok");
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().sendTask("a", "look", "x").sendTask("b", "look", "x")
                .write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: c\r\n"
                        + "X-Lane: look\r\nX-Remaining: 0.3\r\nContent-Length: 1\r\n\r\nx");
        until("the first is out", () -> worker.received.size() == 1);
        Thread.sleep(400);      // the time itself is what the third one is out of, not an order
        go.countDown();
        assertEquals(200, client.read().status());
        assertEquals(200, client.read().status());
        assertEquals(503, client.read().status());
        assertEquals(2, worker.received.size());
        double told = Double.parseDouble(worker.received.get(1).field("X-Remaining"));
        assertTrue(told < 4.65, "of 5 s, 0.4 s after it came, its worker is told " + told);
    }

    /**
     * Whoever connected ahead of its first request had the time between counted against
     * it.
     */
    @Test
    void deadlineOfAFirstRequestCountsFromItsBytesNotFromTheConnection() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client();
        until("it is taken in", () -> onThread(() -> node.dispatcher.clientListener.connectionCount()) == 1);
        Thread.sleep(400);      // the time itself is what the request must not be charged with, not an order
        assertEquals(200, client.sendTask("t", "look", "x").read().status());
        double told = Double.parseDouble(worker.received.get(0).field("X-Remaining"));
        assertTrue(told > 4.7, "of 5 s its worker is told " + told);
    }

    // ---- clients that leave

    /** The end lies unread: the thread is at something else from before the close until an attempt is due. */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "rst"})
    void noAttemptBeginsOnceItsClientHasLeft(String how) throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client();
        onThread(() -> {
            Runnable look = node.beforeFirstByte();
            node.dispatcher.beforeFirstByte(() -> {
                try {
                    client.disconnect(how);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                stand(60);
                look.run();
            });
            return null;
        });
        client.sendTask("t", "look", "x");
        until("it is noticed", () -> count("client_gone") == 1);
        until("it is given back", () -> onThread(() -> node.dispatcher.tasks.size()) == 0);
        assertEquals(0, worker.received.size());
        assertEquals(1, count("first_byte_held_back"));
    }

    /**
     * Met on a day with a crowd of idle clients on a quarter of a core: a connection waited in the backlog
     * until its client
     * had left, its task was read, and sent on 0.66 s after the close, before the end behind it was read.
     */
    @Test
    void taskWhoseClientLeftBeforeItWasReadIsNotSent() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        // whose connection to the worker is kept
        assertEquals(200, client().sendTask("before", "look", "x").read().status());
        Slow client = slow();
        client.line().sendTask("t", "look", "x").disconnect("fin");
        onThread(() -> {
            stand(20);      // all of it is here by then
            node.dispatcher.clientListener.serve(client.connection());
            return null;
        });
        until("it is noticed", () -> count("client_gone") == 1);
        until("it is given back", () -> onThread(() -> node.dispatcher.tasks.size()) == 0);
        assertEquals(1, worker.received.size());
    }

    /**
     * The last byte of a non-idempotent task is held for a moment on a connection that was idle; its client
     * leaves in that moment.
     */
    @Test
    void lastByteIsNotSentOnceItsClientHasLeft() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client();
        onThread(() -> {
            Runnable look = node.beforeFirstByte();
            node.dispatcher.beforeFirstByte(() -> {
                look.run();
                node.thread.execute(() -> {     // all but the last byte is written then
                    try {
                        client.disconnect("rst");
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                    // the hold is over meanwhile, and its timer runs before the sockets are read
                    stand(200);
                });
            });
            return null;
        });
        client.sendTask("t", "sell", "x");
        until("it is noticed", () -> count("client_gone") == 1);
        until("it is given back", () -> onThread(() -> node.dispatcher.tasks.size()) == 0);
        assertEquals(0, worker.received.size());
    }

    // ---- crowds

    /**
     * Met on a day with a crowd of idle clients on a quarter of a core: whoever came was taken in and another
     * closed for it
     * before any socket was looked at, so that answers lay unread for 1.8 s.
     */
    @Test
    void burstOfClientsLeavesTheSocketsTheirTurn() throws Exception {
        node = node(null, list(true), LIMITS);
        int[] takenIn = {-1};
        NextTick[] turn = {null};
        onThread(() -> {
            turn[0] = new NextTick(node.thread);
            turn[0].run(() -> takenIn[0] = node.dispatcher.clientListener.connectionCount());
            for (int i = 0; i < 150; i++) {
                client();
            }
            Thread.sleep(200);      // another thread accepts them meanwhile
            return null;
        });
        until("all are taken in",
                () -> onThread(() -> node.dispatcher.clientListener.connectionCount()) == 150);
        // 16 before that look, and 16 more if the listener's own pipe was the first that the look found.
        assertTrue(takenIn[0] >= 0 && takenIn[0] <= 32,
                takenIn[0] + " were taken in before the sockets were looked at");
        onThread(() -> {
            turn[0].close();
            return null;
        });
    }

    // ---- descriptors

    /**
     * Idle clients hold all their places while the discovery agent is silent; all else that needs a
     * descriptor has one.
     */
    @Test
    void idleClientsMayUseTheirDescriptorsWhileTheAgentIsDown() throws Exception {
        CountDownLatch back = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        TestServer added = worker((task, line) -> line.respondDone(task, "added"));
        TestServer agent = worker((message, line) -> {
            back.await();
            if (!message.startLine().contains("index=")) {
                String body = list(true, added.entry("s-2", "in_service")).replace("REV", "9");
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        });
        node = new DispatcherServer(Configuration
                .read(TestPeers.configuration(agent, list(true, worker.entry("s-1", "in_service")), FEW)
                        .getBytes(StandardCharsets.UTF_8)));
        until("the old list goes on", () -> count("watch_broken") >= 2);
        for (int i = 0; i < 200; i++) {
            TestConnection idle = client();
            if (i % 2 == 0) {
                idle.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
            }
            if (i % 20 == 0) {
                assertEquals("ok", client().sendTask("t" + i, "look", "x").read().text());
            }
        }
        assertTrue(onThread(() -> node.dispatcher.clientListener.connectionCount()) <= 24);
        back.countDown();
        until("the new list is there", () -> count("lists_whole") == 1);
        assertEquals("added", client().sendTask("u", "sell", "x").read().text());
    }
}
