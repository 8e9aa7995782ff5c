package rampshift.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The pool where the story says when a connection comes up. */
class ConnectionPoolTest implements AttemptExchange.Told {
    private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("worker", 1);
    private final XnioWorker xnio;
    private final XnioIoThread thread;
    private final Counters counters = new Counters();
    private final List<ChannelListener<StreamConnection>> coming =
            Collections.synchronizedList(new ArrayList<>());
    private final List<FutureResult<StreamConnection>> dials =
            Collections.synchronizedList(new ArrayList<>());
    private final List<AttemptOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());
    private Moment expiry = new Moment(Long.MAX_VALUE);
    private Dialer dialer;
    private ConnectionPool pool;

    ConnectionPoolTest() throws Exception {
        xnio = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = xnio.getIoThread(0);
    }

    @AfterEach
    void end() {
        xnio.shutdownNow();
    }

    private void on(Runnable work) throws Exception {
        FutureTask<Void> task = new FutureTask<>(work, null);
        thread.execute(task);
        task.get();
    }

    private void pool(int most, double dialMs) throws Exception {
        pool(most, dialMs, 60_000);
    }

    private void pool(int most, double dialMs, double idleMs) throws Exception {
        dialer = new Dialer(thread, this::dial);
        on(() -> {
            pool = new ConnectionPool(thread, dialer, new Clock(),
                    new HostSettings(List.of(), List.of(), List.of(), List.of(),
                            Span.ofMillis(dialMs), Span.ofMillis(idleMs), 100, "x0", "x1"),
                    counters, most);
            pool.updateWorker(1, "s-1", ADDRESS, "a/m", 0, true);
        });
    }

    private IoFuture<StreamConnection> dial(InetSocketAddress to, ChannelListener<StreamConnection> opened) {
        FutureResult<StreamConnection> dial = new FutureResult<>();
        dial.addCancelHandler(() -> {
            dial.setCancelled();
            return null;
        });
        dials.add(dial);
        coming.add(opened);
        return dial.getIoFuture();
    }

    private AttemptExchange assign() throws Exception {
        return assign(false);
    }

    private AttemptExchange assign(boolean once) throws Exception {
        AttemptExchange[] a = new AttemptExchange[1];
        on(() -> a[0] = pool.startAttempt(1, "t", once, expiry,
                () -> new ByteBuffer[]{ByteBuffer.wrap(new byte[]{'x'})}, Span.ZERO, this));
        return a[0];
    }

    @Test
    void aCutMachineIsSilentSoADialEndsAfterItsOwnTime() throws Exception {
        pool(10, 20);
        assign();
        until("told", () -> !outcomes.isEmpty());
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION), outcomes);
        assertEquals(IoFuture.Status.CANCELLED, dials.get(0).getIoFuture().getStatus(),
                "its socket is given back");
        on(() -> assertEquals(0, dialer.openCount()));
    }

    /** A thread with much to do had such news unread for 0.4 s, and sent by the list before it. */
    @Test
    void whatTheListServiceHasWrittenIsReadBeforeTheFirstByte() throws Exception {
        pool(10, 20_000);
        assign();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> {
            pool.beforeFirstByte(() -> pool.updateWorker(1, "s-1", ADDRESS, "a/m", 0, false));
            coming.get(0).handleEvent(pipe.getLeftSide());
        });
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    /**
     * A process that stood still found its connection up first, and only then that the task's time was over.
     */
    @Test
    void nothingOfATaskGoesOutAfterItsExpiry() throws Exception {
        pool(10, 20_000);
        expiry = new Clock().now().plus(Span.ofMillis(50));
        assign();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        Thread.sleep(100);
        on(() -> coming.get(0).handleEvent(pipe.getLeftSide()));
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    /** It was decided for by the place that it had: a bound task may not run in the new one. */
    @ParameterizedTest
    @ValueSource(strings = {"b/m", "a/n"})
    void aWorkerThatIsListedElsewhereOrAsAnotherKindWhileItIsDialedGetsNoFirstByte(String where)
            throws Exception {
        pool(10, 20_000);
        assign();
        on(() -> pool.updateWorker(1, "s-1", ADDRESS, where, 0, true));
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(0).handleEvent(pipe.getLeftSide()));
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    @Test
    void aWorkerThatDrainsWhileItIsDialedGetsNoFirstByte() throws Exception {
        pool(10, 20_000);
        assign();
        on(() -> pool.updateWorker(1, "s-1", ADDRESS, "a/m", 0, false));
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(0).handleEvent(pipe.getLeftSide()));
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
        assertEquals(1, counters.get(Counters.Name.ATTEMPTS_WITHHELD));
        assertEquals(-1, pipe.getRightSide().getSourceChannel().read(ByteBuffer.allocate(10)),
                "nothing but the end");
    }

    @Test
    void aTaskCalledOffBeforeItsLastByteNeverRanAndAfterItMayHave() throws Exception {
        pool(10, 20_000);
        AttemptExchange dialed = assign();
        on(dialed::cancel);
        AttemptExchange sent = assign();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(1).handleEvent(pipe.getLeftSide()));
        on(sent::cancel);
        assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.CALLED_OFF), outcomes);
        on(() -> assertEquals(0, dialer.openCount()));
    }

    /** Met as a story over loopback that failed now and then: tasks went on to the worker's old address. */
    @ParameterizedTest
    @CsvSource({"elsewhere,a/m,0", "worker,a/m,5", "worker,b/m,0", "worker,a/n,0"})
    void aConnectionThatWasOutWhileItsWorkerMovedOrRestartedIsNotKept(String address, String where,
            long bootMs) throws Exception {
        pool(10, 20_000);
        assign();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(0).handleEvent(pipe.getLeftSide()));
        on(() -> pool.updateWorker(1, "s-1", InetSocketAddress.createUnresolved(address, 1), where, bootMs,
                true));
        pipe.getRightSide().getSinkChannel()
                .write(ByteBuffer.wrap("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".getBytes()));
        until("told", () -> !outcomes.isEmpty());
        on(() -> assertEquals(0, dialer.openCount()));
        assign();
        assertEquals(2, dials.size(), "dialed anew");
    }

    /**
     * Met with kept connections that were reset at the next task: those that must not run twice were lost.
     */
    @Test
    void whatIsResetBeforeTheHeldBackLastByteNeverRan() throws Exception {
        pool(10, 20_000);
        assign(true);
        ChannelPipe<StreamConnection, StreamConnection> first = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(0).handleEvent(first.getLeftSide()));
        on(() -> IoUtils.safeClose(first.getRightSide()));
        until("told", () -> outcomes.size() == 1);
        assign(false);
        ChannelPipe<StreamConnection, StreamConnection> kept = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(1).handleEvent(kept.getLeftSide()));
        kept.getRightSide().getSinkChannel()
                .write(ByteBuffer.wrap("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".getBytes()));
        until("told", () -> outcomes.size() == 2);
        // a kept one must have been quiet for a tenth of the time that a dial may take
        Thread.sleep(2100);
        assign(true);
        ByteBuffer got = ByteBuffer.allocate(10);
        kept.getRightSide().getSourceChannel().read(got);
        assertEquals(1, got.position(), "nothing of the second task yet");
        on(() -> IoUtils.safeClose(kept.getRightSide()));
        until("told", () -> outcomes.size() == 3);
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION, AttemptOutcome.ERRED, AttemptOutcome.NOT_SENT),
                outcomes);
        assertEquals(2, dials.size(), "the last went over the kept one");
        assign(false);
        ChannelPipe<StreamConnection, StreamConnection> next = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(2).handleEvent(next.getLeftSide()));
        next.getRightSide().getSinkChannel()
                .write(ByteBuffer.wrap("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".getBytes()));
        until("told", () -> outcomes.size() == 4);
        assign(true);
        assertEquals(4, dials.size(), "after a stale one it goes over none that was kept");
        ChannelPipe<StreamConnection, StreamConnection> good = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(3).handleEvent(good.getLeftSide()));
        got.clear();
        until("the last byte", () -> good.getRightSide().getSourceChannel().read(got) == 1);
        assign(false);
        assertEquals(4, dials.size(), "what may be repeated goes over a kept one");
        on(() -> IoUtils.safeClose(next.getRightSide()));
        until("told", () -> outcomes.size() == 5);
        assertEquals(AttemptOutcome.STALE, outcomes.get(4), "it may have run, and nobody is to blame");
    }

    /** Has one assignment answered, and its connection kept; the result is the worker's end. */
    private StreamConnection kept() throws Exception {
        assign();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(0).handleEvent(pipe.getLeftSide()));
        pipe.getRightSide().getSinkChannel()
                .write(ByteBuffer.wrap("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".getBytes()));
        until("told", () -> outcomes.size() == 1);
        return pipe.getRightSide();
    }

    /** The worker ended it while this thread was at something else, and nobody had read that yet. */
    @Test
    void aKeptConnectionWhoseEndLiesUnreadIsNotLent() throws Exception {
        pool(10, 20_000);
        StreamConnection worker = kept();
        on(() -> {
            IoUtils.safeClose(worker);
            pool.startAttempt(1, "t", false, expiry, () -> new ByteBuffer[]{ByteBuffer.wrap(new byte[]{'x'})},
                    Span.ZERO, this);
        });
        assertEquals(2, dials.size(), "dialed anew");
        on(() -> assertEquals(1, dialer.openCount(), "the kept one was given back"));
    }

    /** The sweep comes twice a second, and later where the thread stands still. */
    @Test
    void aConnectionThatWasKeptForTooLongIsNotLentBeforeTheNextSweepEither() throws Exception {
        pool(10, 20_000, 20);
        kept();
        Thread.sleep(30);
        assign();
        assertEquals(2, dials.size(), "dialed anew");
    }

    /**
     * Said of the task before, for the second time: the sale went to the next worker while it ran at this
     * one.
     */
    @Test
    void aSecondAnswerIsNotTakenForOneToATaskThatMustNotRunTwice() throws Exception {
        pool(10, 20_000);
        StreamConnection worker = kept();
        assign(true);
        worker.getSinkChannel().write(ByteBuffer
                .wrap("HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n".getBytes()));
        assertEquals(2, dials.size(), "it goes over a new one");
        ChannelPipe<StreamConnection, StreamConnection> fresh = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(1).handleEvent(fresh.getLeftSide()));
        ByteBuffer got = ByteBuffer.allocate(10);
        until("it is out", () -> fresh.getRightSide().getSourceChannel().read(got) > 0);
        assertEquals(1, outcomes.size(), "nothing is known of it");
    }

    // ---- broken answers

    /** Has the next assignment's connection come up; the result is the worker's end. */
    private StreamConnection up() throws Exception {
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> coming.get(coming.size() - 1).handleEvent(pipe.getLeftSide()));
        return pipe.getRightSide();
    }

    private static String inChunks(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                + "\r\n" + line + "\r\n0\r\n\r\n";
    }

    /** Before the bytes that tell its outcome the task may have run; after them the outcome stands. */
    @ParameterizedTest
    @EnumSource(value = AttemptOutcome.class, names = {"FINISHED", "ERRED", "FULL", "BROKEN"})
    void anAnswerThatIsCutAtAnyByteTellsExactlyWhetherTheTaskMayHaveRun(AttemptOutcome outcome)
            throws Exception {
        pool(10, 20_000);
        String answer = switch (outcome) {
            case FINISHED -> inChunks("{\"id\":\"t\",\"state\":\"done\",\"result\":\"r\"}\n");
            case ERRED -> "HTTP/1.1 500 x\r\nContent-Length: 3\r\n\r\nodd";
            case FULL -> "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 3\r\n\r\nodd";
            default -> inChunks("{\"id\":\"t\",\"state\":\"lost\"}\n");
        };
        String last = answer.contains("state") ? "}\n" : "\r\n\r\n";
        int told = answer.indexOf(last) + last.length();
        for (int cut = 0; cut < answer.length(); cut++) {
            outcomes.clear();
            assign();
            StreamConnection worker = up();
            worker.getSinkChannel().write(ByteBuffer.wrap(answer.substring(0, cut).getBytes()));
            IoUtils.safeClose(worker);
            until("told", () -> !outcomes.isEmpty());
            until("its connection went", () -> openNow() == 0);
            assertEquals(List.of(cut < told ? AttemptOutcome.BROKEN : outcome), outcomes, "cut after " + cut);
        }
    }

    private int openNow() throws Exception {
        int[] now = new int[1];
        on(() -> now[0] = dialer.openCount());
        return now[0];
    }

    /** Turned away, the sale went to the next worker, and its last byte was written here as well. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\n", "H"})
    void anAnswerThatBeginsBeforeTheLastByteIsWrittenEndsWhatNeverRan(String answer) throws Exception {
        pool(10, 20_000);
        assign(true);
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        on(() -> {
            coming.get(0).handleEvent(pipe.getLeftSide());
            write(pipe.getRightSide(), answer);
        });
        until("told", () -> !outcomes.isEmpty());
        ByteBuffer got = ByteBuffer.allocate(10);
        until("its connection went", () -> pipe.getRightSide().getSourceChannel().read(got) < 0);
        assertEquals(0, got.position(), "no last byte");
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION), outcomes);
        on(() -> assertEquals(0, dialer.openCount()));
    }

    private static void write(StreamConnection to, String text) {
        try {
            to.getSinkChannel().write(ByteBuffer.wrap(text.getBytes()));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parsing takes longer than writing, so there is always more to be read. */
    @Test
    void anAnswerWithoutEndLeavesTheThreadToOthers() throws Exception {
        pool(10, 20_000);
        AttemptExchange task = assign();
        StreamConnection worker = up();
        write(worker, "HTTP/1.1 200 OK\r\n\r\n");
        ByteBuffer lines = ByteBuffer.wrap("{\"id\":\"t\",\"state\":\"x\"}\n".repeat(2000).getBytes());
        AtomicLong sent = new AtomicLong();
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    lines.rewind();
                    while (lines.hasRemaining()) {      // does not wait: what was read is refilled at once
                        sent.addAndGet(worker.getSinkChannel().write(lines));
                    }
                }
            } catch (IOException e) {
                // The other side closed it.
            }
        });
        flood.setDaemon(true);
        flood.start();
        until("it is well under way", () -> sent.get() > 4_000_000);
        FutureTask<Void> turn = new FutureTask<>(task::cancel, null);
        thread.execute(turn);
        turn.get(10, TimeUnit.SECONDS);
        assertEquals(List.of(AttemptOutcome.CALLED_OFF), outcomes, "it may have run");
        flood.join(10_000);
        assertTrue(!flood.isAlive(), "its connection went");
    }

    /** Without an id it may be about the task before. */
    @ParameterizedTest
    @CsvSource({"returned", "done", "lost"})
    void aLastLineWithoutAnIdTellsNoMoreThanThatTheTaskMayHaveRun(String state) throws Exception {
        pool(10, 20_000);
        assign();
        write(up(), inChunks("{\"state\":\"" + state + "\"}\n"));
        until("told", () -> !outcomes.isEmpty());
        assertEquals(List.of(AttemptOutcome.BROKEN), outcomes);
    }

    // ---- slow dials

    /** A look at the list and at the client may take its time, and the message tells how much is left. */
    @Test
    void theMessageIsMadeOnceItMayBeWritten() throws Exception {
        pool(10, 20_000);
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        on(() -> {
            pool.beforeFirstByte(() -> order.add("look"));
            pool.startAttempt(1, "t", false, expiry, () -> {
                order.add("message");
                return new ByteBuffer[]{ByteBuffer.wrap(new byte[]{'x'})};
            }, Span.ZERO, this);
        });
        up();
        assertEquals(List.of("look", "message"), order);
    }

    @Test
    void whereAllConnectionsAreTakenATaskIsNotSent() throws Exception {
        pool(1, 20_000);
        assign();
        assign();
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
        assertTrue(dials.size() == 1, "no more sockets than allowed");
    }

    @Override
    public boolean isStillWanted() {
        return true;
    }

    @Override
    public void onStarted() {
        // Not of interest here.
    }

    @Override
    public void onProgress(double share) {
        // Not of interest here.
    }

    @Override
    public void onLoadReport(long worker, LoadReport load) {
        // Not of interest here.
    }

    @Override
    public void onOutcome(AttemptOutcome outcome, byte[] result) {
        outcomes.add(outcome);
    }
}
