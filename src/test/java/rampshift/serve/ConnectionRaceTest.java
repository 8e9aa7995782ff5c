package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.HttpMessage;
import rampshift.MainAccess;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.settings.Configuration;
import rampshift.time.NextTick;

/**
 * What comes between two lines, its order forced by a test peer or by a step on the I/O thread
 * (docs/rare-moments.md).
 */
class ConnectionRaceTest extends ServerTestBase {
    private static final String LIMITS = "{\"memory_mb\":192,\"sockets\":1024}";

    /** One that takes a task and never answers. */
    private TestServer holder() throws IOException {
        return worker((task, line) -> line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }

    private static Configuration configuration(TestServer discovery, String known, String more)
            throws IOException {
        return Configuration.read(TestPeers.configuration(discovery, known, LIMITS)
                .replace("\"WeightSource\"", more + "\"WeightSource\"")
                .getBytes(StandardCharsets.UTF_8));
    }

    // ---- a client that has left

    /**
     * With a complete further request behind, nothing more was read, and the end of the stream
     * never seen.
     */
    @ParameterizedTest
    @CsvSource({"fin,none", "rst,none", "fin,half", "fin,whole", "rst,whole", "fin,many", "rst,many"})
    void leavingClientIsNoticedWhateverItPipelined(String how, String behind) throws Exception {
        TestServer worker = holder();
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        switch (behind) {
            case "half" -> client.write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: h\r\nContent-Le");
            case "whole" -> client.sendTask("b", "look", "x");
            case "many" -> {
                for (int i = 0; i < 6; i++) {
                    client.sendTask("b" + i, "look", "x".repeat(60_000));
                }
            }
            default -> {
            }
        }
        client.disconnect(how);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
        assertEquals(1, worker.received.size(), "and what it sent behind goes nowhere");
        assertEquals(1, count("client_gone"));
    }

    /**
     * What a client sends ahead is served in its turn up to a bound; past that its connection ends with the
     * answer in flight.
     */
    @Test
    void endlessPipeliningIsBoundedAndTheTaskInFlightIsAnswered() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, task.field("X-Txn"));
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        for (int i = 0; i < 20; i++) {
            client.sendTask("b" + i, "look", "x".repeat(60_000));
        }
        // Before the answer: what the kernel still held when it was written was let through like any next
        // request.
        until("more came than is kept", () -> count("sent_ahead") == 1);
        go.countDown();
        HttpMessage answer = client.read();
        assertEquals("t", answer.text());
        assertEquals("close", answer.field("Connection"));
        assertEquals(1, worker.received.size());
        assertEquals(1, count("sent_ahead"));
    }

    /**
     * The bodies of others filled the memory, and a non-idempotent task that was running was answered 503,
     * as if never sent.
     */
    @Test
    void taskThatMayHaveRunIsNotRejectedForPipelinedInput() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, "sold");
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), "{\"memory_mb\":1,\"sockets\":256}");
        String head =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Lane: look\r\nX-Remaining: 5\r\n"
                        + "Content-Length: 60000\r\nX-Txn: ";
        TestConnection stalls = client().write(head + "a\r\n\r\nhalf");
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        client.write(head + "b\r\n\r\nhalf");
        until("it was seen", () -> count("sent_ahead") + count("turned_down") == 1);
        go.countDown();
        HttpMessage answer = client.read();
        assertEquals(200, answer.status());
        assertEquals("sold", answer.text());
        stalls.close();
    }

    /**
     * The interim response was counted as sent while the request before was in flight, and the client waited
     * for it in vain.
     */
    @Test
    void pipelinedRequestGetsItsContinueWhenItsTurnComes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            go.await();
            line.respondDone(task, "ok");
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().sendTask("a", "look", "x")
                .write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: b\r\nX-Lane: look\r\n"
                        + "X-Remaining: 5\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        until("it is out", () -> worker.received.size() == 1);
        go.countDown();
        assertEquals(200, client.read().status());
        assertEquals(100, client.read().status());
        assertEquals(200, client.write("abc").read().status());
    }

    @Test
    void parkedTaskWhoseClientLeftIsNotSent() throws Exception {
        CountDownLatch tell = new CountDownLatch(1);
        TestServer worker = holder();
        TestServer agent = worker((message, line) -> {
            tell.await();
            if (message.startLine().contains("index=")) {
                return;
            }
            String body = list(true, worker.entry("s-1", "in_service")).replace("REV", "1");
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        });
        node = new DispatcherServer(configuration(agent, list(true, worker.entry("s-1", "in_service")), ""));
        client().sendTask("t", "look", "x").disconnect("fin");
        until("it is noticed", () -> count("client_gone") == 1);
        assertEquals(0, worker.received.size());
        tell.countDown();
        until("the list is there", () -> count("lists_whole") > 0);
        client().sendTask("next", "look", "x");
        until("the next one is out", () -> !worker.received.isEmpty());
        assertEquals("next", worker.received.get(0).field("X-Txn"));
    }

    /**
     * The worker's backlog is full, so the connection comes up only once the worker takes what waits there.
     */
    @Test
    void taskWhoseClientLeftDuringTheDialIsNotSent() throws Exception {
        try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 2; i++) {
                open.add(new Socket(busy.getInetAddress(), busy.getLocalPort()));
            }
            String entry = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:" + busy.getLocalPort()
                    + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,"
                    + "\"state\":\"in_service\",\"capacity_hint\":4.0,\"boot_ms\":0}";
            node = new DispatcherServer(Configuration.read(
                    TestPeers.configuration(null, list(true, entry), LIMITS).replace("\"DialTimeoutMs\":500",
                            "\"DialTimeoutMs\":20000").getBytes(StandardCharsets.UTF_8)));
            node.awaitReady();
            TestConnection client = client().sendTask("t", "sell", "x");
            until("it is dialed", () -> count("dialed") == 1);
            assertEquals(0, count("outcome_not_sent"));
            client.disconnect("rst");
            until("its dial is called off", () -> count("outcome_not_sent") == 1);
            assertEquals(1, count("client_gone"));
        }
    }

    @Test
    void hundredsOfLeavingClientsAreNoticedAtOnceAlsoDuringShutdown() throws Exception {
        TestServer worker = holder();
        node = node(null, list(true, IntStream.range(0, 300)
                .mapToObj(i -> worker.entry("s-" + i, "in_service")).toArray(String[]::new)), LIMITS);
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            clients.add(client().sendTask("t" + i, "look", "x"));
        }
        until("all are taken in", () -> count("taken") == 300);
        Set<Integer> ports = clients.stream().map(TestConnection::port).collect(Collectors.toSet());
        new Thread(node::stop).start();
        until("it stops", () -> client().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().text()
                .equals("stopping\n"));
        int[] looks = {0};
        FutureTask<Integer> noticed = new FutureTask<>(() -> looks[0]);
        NextTick turn = onThread(() -> {
            for (int i = 0; i < 300; i++) {
                clients.get(i).disconnect(i % 2 == 0 ? "fin" : "rst");
            }
            until("all ends are in the kernel", () -> established(ports) == 0);
            NextTick t = new NextTick(node.thread);
            look(t, looks, noticed);
            return t;
        });
        int last = noticed.get(20, TimeUnit.SECONDS);
        assertTrue(last <= 2, "all were noticed only at look " + last + " at the sockets");
        onThread(() -> {
            turn.close();
            return null;
        });
        assertEquals(300, count("client_gone") + count("bounced"));
        long sent = count("assigned");
        until("nothing is out", () -> worker.ended.size() == worker.connections.size());
        assertTrue(count("client_gone") > 50, "not all had been bounced before");
        assertEquals(sent, count("assigned"), "and none was sent on");
    }

    /** Counts looks at the sockets until no task is in flight. */
    private void look(NextTick turn, int[] looks, FutureTask<Integer> noticed) {
        turn.run(() -> {
            looks[0]++;
            if (node.dispatcher.tasks.size() == 0) {
                noticed.run();
            } else {
                look(turn, looks, noticed);
            }
        });
    }

    /** How many of the dispatcher's connections to these ports have not been ended, by the kernel's table. */
    private int established(Set<Integer> ports) throws IOException {
        int count = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String row : Files.readAllLines(Path.of(table))) {
                String[] fields = row.trim().split("\\s+");     // number, local and remote address, state
                boolean open = fields[3].equals("01") && port(fields[1]) == node.address().getPort();
                if (open && ports.contains(port(fields[2]))) {
                    count++;
                }
            }
        }
        return count;
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }

    /**
     * The figure of docs/measurements.md. A median, since any one of them may meet a machine that is at
     * something else.
     */
    @Test
    void taskWhoseClientLeavesIsDroppedPromptly() throws Exception {
        TestServer worker = holder();
        node = node(null, list(true, IntStream.range(0, 200)
                .mapToObj(i -> worker.entry("s-" + i, "in_service")).toArray(String[]::new)), LIMITS);
        long[] micros = new long[100];
        for (int i = 0; i < micros.length; i++) {
            int out = worker.received.size();
            TestConnection client = client().sendTask("t" + i, "look", "x");
            until("it is out", () -> worker.received.size() > out);
            client.disconnect(i % 2 == 0 ? "fin" : "rst");
            long left = System.nanoTime();
            while (onThread(() -> node.dispatcher.tasks.size()) > 0) {
                Thread.onSpinWait();
            }
            micros[i] = (System.nanoTime() - left) / 1000;
        }
        Arrays.sort(micros);
        System.out.println("left to dropped, microseconds: median " + micros[50] + ", 90th " + micros[90]
                + ", most " + micros[99]);
        assertTrue(micros[50] < 300_000, "median " + micros[50]);
    }

    // ---- closes that cross a request

    /**
     * Has the thread stand still until the client has written its request, and do something then: nothing was
     * read between.
     */
    private void unread(TestConnection client, String txn, Runnable then) throws Exception {
        onThread(() -> {
            client.sendTask(txn, "sell", "x");
            then.run();
            return null;
        });
    }

    /**
     * Idle connections were closed for the shutdown without a last read, and such a request was lost
     * in a reset.
     */
    @Test
    void unreadRequestIsAnsweredWhenConnectionsAreClosed() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client();
        assertEquals(200, client.sendTask("a", "sell", "x").read().status());
        unread(client, "b", () -> node.dispatcher.closeToRequests());
        assertEquals(503, client.read().status());
        assertEquals(1, worker.received.size());
    }

    /**
     * The thread stands still beyond the time that such a client may idle, and its request comes in the
     * meantime.
     */
    @Test
    void unreadRequestOfAClientThatIdledTooLongIsAnswered() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client();
        assertEquals(200, client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().status());
        unread(client, "b", () -> {
            for (long end = System.nanoTime() + 1_200_000_000L; System.nanoTime() < end;) {
                Thread.onSpinWait();
            }
        });
        assertEquals(200, client.read().status());
    }

    /**
     * The socket was closed in the turn in which the last idle connection was ended between
     * requests.
     */
    @Test
    void requestThatCrossedAConnectionCloseIsAnsweredOnTheNextOne() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        node = new DispatcherServer(Configuration.read(TestPeers
                .configuration(null, list(true, worker.entry("s-1", "in_service")), LIMITS)
                .replaceAll("\"ExpiryMs\":\\d+", "\"ExpiryMs\":1500").getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        TestConnection client = client();
        assertEquals(200, client.sendTask("a", "sell", "x").read().status());
        Thread stop = new Thread(node::stop);
        stop.start();
        assertTrue(client.closedByPeer(), "between calls");
        assertEquals(503, client().sendTask("b", "sell", "x").read().status());
        stop.join(20_000);
        assertTrue(node.isStopped());
    }

    /**
     * As with a watch switched while it starts, the signal came before the part that acts on
     * it stood.
     */
    @Test
    void stopDuringTheStartEndsInOrder() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        FutureTask<DispatcherServer> start =
                new FutureTask<>(() -> node(null, list(true, worker.entry("s-1", "in_service")), LIMITS));
        Thread stop = MainAccess.stopper(start);
        stop.start();
        start.run();
        node = start.get();
        TestConnection client = client();
        until("it stops", () -> client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").read().text()
                .equals("stopping\n"));
        assertEquals(200, client.sendTask("a", "sell", "x").read().status());
        client.close();
        stop.join(20_000);
        assertTrue(node.isStopped());
    }

    @Test
    void idempotentTaskIsRejectedAtTheEndAndNonIdempotentOneIsFailed() throws Exception {
        TestServer worker = holder();
        node = new DispatcherServer(Configuration.read(TestPeers
                .configuration(null, list(true, worker.entry("s-1", "in_service")), LIMITS)
                .replaceAll("\"ExpiryMs\":\\d+", "\"ExpiryMs\":1500").getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        TestConnection look = client().sendTask("a", "look", "x");
        TestConnection sell = client().sendTask("b", "sell", "x");
        until("they are out", () -> worker.received.size() == 2);
        onThread(() -> {
            node.dispatcher.policyHost.endAllTasks();
            return null;
        });
        assertEquals(503, look.read().status());
        assertEquals(504, sell.read().status());
    }

    /**
     * Half of its worker's last line lies unread when a non-idempotent task is failed, and the rest comes
     * after that.
     */
    @Test
    void halfAProgressLineAtTheEndChangesNothing() throws Exception {
        CountDownLatch half = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        TestServer worker = worker((task, line) -> {
            String done = "{\"id\":\"t\",\"state\":\"done\",\"result\":\"sold\"}\n";
            String chunk = Integer.toHexString(done.length()) + "\r\n" + done + "\r\n0\r\n\r\n";
            line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            half.await();
            line.write(chunk.substring(0, 30));
            rest.await();
            line.write(chunk.substring(30));
        });
        node = node(null, list(true, worker.entry("s-1", "in_service")), LIMITS);
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is out", () -> worker.received.size() == 1);
        onThread(() -> {
            half.countDown();
            stand(20);      // nothing is read meanwhile
            node.dispatcher.closeToRequests();
            node.dispatcher.policyHost.endAllTasks();
            rest.countDown();
            return null;
        });
        String answer = client.readUntil("[no such text]");
        assertTrue(answer.startsWith("HTTP/1.1 504 ") && answer.endsWith("\r\n\r\n[END]"), answer);
        until("the worker's connection ended", () -> worker.ended.size() == 1);
        assertEquals(0, count("finished"));
    }

    // ---- lists

    @Test
    void indentedListIsRead() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        String body = list(true, worker.entry("s-1", "in_service")).replace("REV", "3")
                .replace("{", "{\r\n  ").replace(",", " ,\n\t").replace(":", " : ")
                .replace("127.0.0.1 : ", "127.0.0.1:").replace("]", "\n]\n");
        TestServer agent = worker((message, line) -> {
            if (!message.startLine().contains("index=")) {
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        });
        node = new DispatcherServer(configuration(agent, list(true), ""));
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(1, count("lists_whole"));
    }

    /**
     * What is sent once an older list is in reads a newer one before its first byte: the newer one binds, now
     * and later.
     */
    @Test
    void listReadWhileAnOlderOneIsAppliedWins() throws Exception {
        TestServer worker = worker((task, line) -> line.respondDone(task, "ok"));
        CountDownLatch tell = new CountDownLatch(1);
        TestServer agent = worker((message, line) -> {
            tell.await();
            boolean first = !message.startLine().contains("index=");
            if (first || message.startLine().contains("index=1")) {
                String body = list(true, worker.entry("s-1", first ? "in_service" : "terminating"))
                        .replace("REV", first ? "1" : "2");
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        });
        node = new DispatcherServer(configuration(agent, list(true, worker.entry("s-1", "in_service")),
                "\"Rules\":{\"StopSendingWithinMs\":10},"));
        TestConnection client = client().sendTask("t", "sell", "x");
        until("it is taken", () -> count("taken") == 1);
        onThread(() -> {
            Runnable look = node.beforeFirstByte();
            node.dispatcher.beforeFirstByte(() -> {
                // The newer list has been written by now, and nobody has read it.
                for (long end = System.nanoTime() + 50_000_000L; System.nanoTime() < end;) {
                    Thread.onSpinWait();
                }
                look.run();
            });
            return null;
        });
        tell.countDown();
        assertEquals(503, client.read().status());
        assertEquals(0, worker.received.size());
        assertEquals(1, count("first_byte_held_back"));
        assertEquals(503, client().sendTask("u", "sell", "x").read().status());
        assertEquals(1, count("assigned"), "the module goes by the newer one too");
    }

    // ---- two customers

    /**
     * Names that swap their meaning, in one process: what errs is sent again where that is allowed, and
     * nowhere else.
     */
    @Test
    void settingsOfTwoServersInOneProcessDoNotMix() throws Exception {
        ServerScript errs = (task, line) -> line.respondStatus(500, "");
        TestServer one = worker(errs);
        TestServer two = worker(errs);
        String known = list(true, one.entry("s-1", "in_service"), two.entry("s-2", "in_service"));
        String here = TestPeers.configuration(null, known, LIMITS);
        String there = here.replace("\"look\"", "\"?\"").replace("\"sell\"", "\"look\"")
                .replace("\"?\"", "\"sell\"").replace("\"ExpiryMs\":5000", "\"ExpiryMs\":3000");
        node = new DispatcherServer(Configuration.read(here.getBytes(StandardCharsets.UTF_8)));
        DispatcherServer other =
                new DispatcherServer(Configuration.read(there.getBytes(StandardCharsets.UTF_8)));
        try {
            node.awaitReady();
            other.awaitReady();
            assertEquals(504, client().sendTask("a1", "sell", "x").read().status());
            assertEquals(504, new TestConnection(other).sendTask("b1", "look", "x").read().status());
            new TestConnection(other).sendTask("b2", "sell", "x").read();
            client().sendTask("a2", "look", "x").read();
            assertEquals(List.of(1, 1), List.of(sent("a1", one, two), sent("b1", one, two)));
            assertTrue(sent("a2", one, two) > 1 && sent("b2", one, two) > 1);
        } finally {
            new Thread(other::stop).start();
        }
    }

    private static int sent(String txn, TestServer... workers) {
        int sent = 0;
        for (TestServer worker : workers) {
            synchronized (worker.received) {
                sent += (int) worker.received.stream().filter(m -> txn.equals(m.field("X-Txn"))).count();
            }
        }
        return sent;
    }
}
