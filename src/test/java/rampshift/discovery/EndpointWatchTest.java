package rampshift.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestDiscovery;
import rampshift.TestServer;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.time.Clock;
import rampshift.time.Span;

/** The watch on a thread that has much else to do. */
class EndpointWatchTest {
    private final XnioWorker xnio;
    private final XnioIoThread thread;
    private final List<Long> told = Collections.synchronizedList(new ArrayList<>());
    private final List<String> versions = Collections.synchronizedList(new ArrayList<>(List.of(list(true))));
    private final TestServer agent = TestDiscovery.start(versions);
    private final Counters counters = new Counters();
    private EndpointWatch watch;

    EndpointWatchTest() throws Exception {
        xnio = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = xnio.getIoThread(0);
    }

    @AfterEach
    void end() throws Exception {
        agent.close();
        xnio.shutdownNow();
    }

    private void on(Runnable work) throws Exception {
        FutureTask<Void> task = new FutureTask<>(work, null);
        thread.execute(task);
        task.get();
    }

    private void busy(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void watch(int grace, Runnable whenTold) throws Exception {
        on(() -> {
            watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                    new InetSocketAddress("127.0.0.1", agent.port()),
                    Span.ofMillis(grace), counters, l -> {
                        told.add(l.version());
                        whenTold.run();
                    }, () -> {});
            watch.start();
        });
    }

    @Test
    void newsThatLiesUnreadIsReadWhereSomebodyLooks() throws Exception {
        watch(4000, () -> {});
        until("the call for changes is open", () -> agent.received.size() == 2);
        on(() -> {
            busy(450);      // nobody has looked for a tenth of the grace
            versions.add(list(false));
            busy(300);
            assertEquals(List.of(1L), told);
            watch.readPending();
            assertEquals(List.of(1L, 2L), told, "and the thread has not left what it does");
        });
    }

    /** Tasks that waited for a list go out in one go, which took 84 ms; the next call went out after that. */
    @Test
    void theNextCallIsOutBeforeWhatWaitedForTheListGoesOn() throws Exception {
        List<Long> meanwhile = Collections.synchronizedList(new ArrayList<>());
        watch(2000, () -> {
            if (told.size() == 1) {
                versions.add(list(false));
                busy(300);
                watch.readPending();
                meanwhile.addAll(told);
            }
        });
        until("both are told", () -> told.size() >= 2);
        assertEquals(List.of(1L, 2L), meanwhile);
        assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
    }

    /**
     * Its answer was there in time: it is not asked again on a new connection because this thread was late.
     */
    @Test
    void anAnswerThatLiesUnreadIsNoSilence() throws Exception {
        watch(2000, () -> {});
        until("the call for changes is open", () -> agent.received.size() == 2);
        on(() -> busy(1800));
        until("it is watched on", () -> agent.received.size() > 2);
        assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
    }

    /**
     * What looks and the end of the call's time came in one turn of the thread: the answer was read, the next
     * call went
     * out, and then the time that was over by the former one broke it off.
     */
    @Test
    void theTimeOfACallThatWasJustAnsweredDoesNotBreakTheNextOne() throws Exception {
        watch(2000, () -> {});
        until("the call for changes is open", () -> agent.received.size() == 2);
        on(() -> {
            thread.executeAfter(() -> watch.readPending(), 1, TimeUnit.MILLISECONDS);
            busy(1800);      // its answer, that nothing changed, came after 800; its time is over after 1400
        });
        until("it is watched on", () -> agent.received.size() > 2);
        assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
    }

    /**
     * SIGHUP twice before the first connection is up: what the first dial and the second bring is nobody's
     * any more.
     */
    @Test
    void ofSeveralMovesInARowTheLastOneHolds() throws Exception {
        try (TestServer second =
                TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "20"))));
                TestServer third =
                        TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "30"))))) {
            on(() -> {
                watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                        new InetSocketAddress("127.0.0.1", agent.port()),
                        Span.ofMillis(2000), counters, l -> told.add(l.version()), () -> {});
                watch.start();
                watch.switchTo(new InetSocketAddress("127.0.0.1", second.port()));
                watch.switchTo(new InetSocketAddress("127.0.0.1", third.port()));
            });
            until("the last one is watched", () -> third.received.size() > 1);
            on(() -> {});
            assertEquals(List.of(30L), told);
            assertEquals(0, agent.received.size() + second.received.size());
            assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
        }
    }

    /**
     * The bound is met while bytes of the answer are being handed out: nothing more of them counts, and the
     * next one does.
     */
    @Test
    void aListWithoutEndIsBrokenOffAndTheNextOneIsRead() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (TestServer odd = new TestServer((message, line) -> {
            String body = asked.getAndIncrement() == 0 ? " ".repeat(3 << 20) : list(true).replace("REV", "7");
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        })) {
            on(() -> {
                watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                        new InetSocketAddress("127.0.0.1", odd.port()),
                        Span.ofMillis(2000), counters, l -> {
                            told.add(l.version());
                            watch.stop();
                        }, () -> {});
                watch.start();
            });
            until("it is told", () -> !told.isEmpty());
            assertEquals(List.of(7L), told);
            assertEquals(1, counters.get(Counters.Name.WATCH_FAILURES));
        }
    }

    /**
     * Met by reading: a call's time spanned its whole answer, so a list on a slow way was dropped and asked
     * for anew for ever.
     */
    @Test
    void aListThatComesInPiecesIsReadHoweverLongItTakes() throws Exception {
        String body = list(true).replace("REV", "7");
        AtomicInteger asked = new AtomicInteger();
        try (TestServer slow = new TestServer((message, line) -> {
            if (asked.getAndIncrement() == 0) {
                line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int i = 0; i < body.length(); i++) {
                    // a grace of 2 s, and so 0.6 s for an answer to be late; all of it takes 0.8 s
                    Thread.sleep(25);
                    line.write("1\r\n" + body.charAt(i) + "\r\n");
                }
                line.write("0\r\n\r\n");
            }
        })) {
            listen(slow, 2000);
            until("it is told", () -> !told.isEmpty());
            assertEquals(List.of(7L), told);
            assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
        }
    }

    /**
     * Pieces without end are no list: the next call's answer is waited for in vain no longer than news may be
     * late.
     */
    @Test
    void anAnswerThatNeverEndsIsBrokenOff() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (TestServer odd = new TestServer((message, line) -> {
            if (asked.getAndIncrement() > 0) {
                String body = list(true).replace("REV", "8");
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                return;
            }
            line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                Thread.sleep(10);
                line.write("1\r\n \r\n");
            }
        })) {
            long from = System.nanoTime();
            listen(odd, 2000);
            until("the next one is told", () -> !told.isEmpty());
            assertEquals(List.of(8L), told);
            long ms = (System.nanoTime() - from) / 1_000_000;
            assertTrue(ms < 6000, "news counts as told after 6 s, and came after " + ms + " ms");
        }
    }

    /** Met by reading: a list over 1 MiB was refused for ever. */
    @Test
    void aListOfAThousandWorkersWithTheirLongestEntriesIndentedIsRead() throws Exception {
        StringBuilder body =
                new StringBuilder("{\n        \"rev\": 7,\n        \"all\": true,\n        \"targets\": [\n");
        for (int i = 0; i < 1024; i++) {
            String name = String.format("%04d", i).repeat(50);
            body.append(i == 0 ? "" : ",\n").append("                {\n");
            String[] fields = {"\"uid\": \"" + name + '"', "\"endpoint\": \"255.255.255.255:65535\"",
                    "\"az\": \"" + name + '"',
                    "\"model\": \"" + name + '"', "\"pod_group\": 2147483647", "\"state\": \"in_service\"",
                    "\"capacity_hint\": 1.2345678901234567", "\"boot_ms\": 1764640000000"};
            body.append(" ".repeat(32)).append(String.join(",\n" + " ".repeat(32), fields))
                    .append("\n                }");
        }
        body.append("\n        ]\n}\n");
        assertTrue(body.length() > 1 << 20, "it is over the former bound: " + body.length());
        try (TestServer large = new TestServer((message, line) -> {
            if (!message.startLine().contains("index=")) {
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        })) {
            listen(large, 2000);
            until("it is told", () -> !told.isEmpty());
            assertEquals(0, counters.get(Counters.Name.WATCH_FAILURES));
        }
    }

    /** What an agent does to a call before it comes back with news. */
    private static void spoil(String how, TestConnection line) throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: ";
        switch (how) {
            case "silent" -> {
            }
            case "503" -> line.respondStatus(503, "");
            case "ended" -> line.close();
            case "reset" -> line.disconnect("rst");
            case "cut in the head" -> line.write("HTTP/1.1 200 O").close();
            case "cut in the body" -> line.write(head + "500\r\n\r\n{\"rev\":5,\"all\":true,\"targ").close();
            case "stuck in the body" -> line.write(head + "500\r\n\r\n{\"rev\":5,\"all\":true,\"targ");
            case "no json" -> line.write(head + "3\r\n\r\n{]}");
            case "no list" -> line.write(head + "2\r\n\r\n{}");
            case "two lengths" ->
                line.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}");
            case "no http" -> line.write("no such thing\r\n\r\n");
            case "single bytes" -> {
                line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (char c : list(false).replace("REV", "1").toCharArray()) {
                    line.write("1\r\n" + c + "\r\n");
                }
                line.write("0\r\n\r\n");
            }
            default -> throw new IllegalArgumentException(how);
        }
    }

    /**
     * A change counts as told 6 s after discovery had it and could be reached, whatever failed before. Here
     * it is told within
     * a third of that: the agent misbehaves through four calls, has the news from then on, and the watch is
     * moved to another
     * address (as at SIGHUP) in the midst of the misbehaviour, or not.
     */
    @ParameterizedTest
    @CsvSource({"silent", "503", "ended", "reset", "cut in the head", "cut in the body", "stuck in the body",
            "no json", "no list", "two lengths",
            "no http", "single bytes"})
    void newsIsToldSoonWhateverWentWrongBefore(String how) throws Exception {
        for (boolean moves : new boolean[]{false, true}) {
            told.clear();
            AtomicInteger asked = new AtomicInteger();
            ServerScript agentsWay = (message, line) -> {
                int n = asked.incrementAndGet();
                if (n == 1) {
                    String body = list(true).replace("REV", "1");
                    line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                } else if (n <= 5) {
                    spoil(how, line);
                } else {
                    String body = list(true).replace("REV", "9");
                    line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                }
            };
            try (TestServer one = new TestServer(agentsWay); TestServer two = new TestServer(agentsWay)) {
                long[] wrong = {0};
                on(() -> {
                    watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                            new InetSocketAddress("127.0.0.1", one.port()),
                            Span.ofMillis(250), counters, l -> {
                                told.add(l.version());
                                if (l.version() == 9) {
                                    watch.stop();
                                }
                            }, () -> {});
                    watch.start();
                });
                until("it goes wrong", () -> asked.get() >= 3);
                wrong[0] = System.nanoTime();
                if (moves) {
                    on(() -> watch.switchTo(new InetSocketAddress("127.0.0.1", two.port())));
                }
                until("the news is told", () -> told.contains(9L));
                long ms = (System.nanoTime() - wrong[0]) / 1_000_000;
                assertTrue(ms < 6000, "three more calls went wrong, and the news came after " + ms + " ms");
            }
        }
    }

    /** Nobody listens there, or connections hang: the outage ends between two tries. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void newsIsToldSoonWhereNoConnectionCouldBeHad(boolean hangs) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        List<Socket> waiting = new ArrayList<>();
        ServerSocket full = hangs ? new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")) : null;
        for (int i = 0; hangs && i < 2; i++) {
            waiting.add(new Socket("127.0.0.1", port));     // its backlog is full: the next dial hangs
        }
        on(() -> {
            watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                    new InetSocketAddress("127.0.0.1", port), Span.ofMillis(250), counters,
                    l -> {
                        told.add(l.version());
                        watch.stop();
                    }, () -> {});
            watch.start();
        });
        until("two tries have failed", () -> counters.get(Counters.Name.WATCH_FAILURES) >= 2);
        long from = System.nanoTime();
        for (Socket s : waiting) {
            s.close();
        }
        if (hangs) {
            full.close();
        }
        try (TestServer back = TestServer.at(port, (message, line) -> {
            String body = list(true).replace("REV", "9");
            line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        })) {
            until("the news is told", () -> told.contains(9L));
            long ms = (System.nanoTime() - from) / 1_000_000;
            assertTrue(ms < 6000, "the outage was over, and the news came after " + ms + " ms");
        }
    }

    private void listen(TestServer at, int grace) throws Exception {
        on(() -> {
            watch = new EndpointWatch(thread, new Dialer(thread), new Clock(),
                    new InetSocketAddress("127.0.0.1", at.port()),
                    Span.ofMillis(grace), counters, l -> {
                        told.add(l.version());
                        watch.stop();
                    }, () -> {});
            watch.start();
        });
    }
}
