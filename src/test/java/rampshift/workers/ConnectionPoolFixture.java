package rampshift.workers;

import static rampshift.TestPeers.until;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.connections.Dialer;
import rampshift.connections.MemoryBudget;
import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A connection pool with one worker, over pipes. The test decides when a dial succeeds. */
abstract class ConnectionPoolFixture {
    static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("worker", 1);
    static final String EMPTY_ERROR_RESPONSE = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
    /** The memory for incomplete responses: that of two of the longest lines. */
    static final int MAX_RESPONSE_BYTES = 128 * 1024;
    private static final double LONG_DIAL_TIMEOUT_MS = 20_000;
    private static final double LONG_IDLE_TIMEOUT_MS = 60_000;

    final XnioIoThread thread;
    final Counters counters = new Counters();
    final List<ChannelListener<StreamConnection>> dialListeners =
            Collections.synchronizedList(new ArrayList<>());
    final List<FutureResult<StreamConnection>> dials = Collections.synchronizedList(new ArrayList<>());
    final List<AttemptOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());
    final AttemptListener listener = new OutcomeRecorder();
    Moment deadline = new Moment(Long.MAX_VALUE);
    Dialer dialer;
    ConnectionPool pool;
    private final XnioWorker xnio;

    ConnectionPoolFixture() throws IOException {
        xnio = Xnio.getInstance().createWorker(
                OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = xnio.getIoThread(0);
    }

    @AfterEach
    void stopThread() {
        xnio.shutdownNow();
    }

    void runOnThread(Runnable work) throws Exception {
        FutureTask<Void> task = new FutureTask<>(work, null);
        thread.execute(task);
        task.get();
    }

    void createPool() throws Exception {
        createPool(10, LONG_DIAL_TIMEOUT_MS, LONG_IDLE_TIMEOUT_MS);
    }

    void createPool(int maxConnections, double dialTimeoutMs, double idleTimeoutMs) throws Exception {
        dialer = new Dialer(thread, this::dial);
        runOnThread(() -> {
            HostSettings settings = new HostSettings(List.of(), List.of(), List.of(), List.of(),
                    Span.ofMillis(dialTimeoutMs), Span.ofMillis(idleTimeoutMs), 100, "x0", "x1");
            pool = new ConnectionPool(thread, dialer, new Clock(), settings, counters, maxConnections,
                    new MemoryBudget(MAX_RESPONSE_BYTES));
            listWorker(ADDRESS, "a/m", 0, true);
        });
    }

    void createPoolWithMaxConnections(int maxConnections) throws Exception {
        createPool(maxConnections, LONG_DIAL_TIMEOUT_MS, LONG_IDLE_TIMEOUT_MS);
    }

    void createPoolWithDialTimeout(double dialTimeoutMs) throws Exception {
        createPool(10, dialTimeoutMs, LONG_IDLE_TIMEOUT_MS);
    }

    void createPoolWithIdleTimeout(double idleTimeoutMs) throws Exception {
        createPool(10, LONG_DIAL_TIMEOUT_MS, idleTimeoutMs);
    }

    /** Lists the worker. Must be called on the I/O thread. */
    void listWorker(InetSocketAddress address, String placement, long startedAtMs, boolean ready) {
        pool.updateWorker(new WorkerListing(1, "s-1", address, placement, startedAtMs, ready));
    }

    private IoFuture<StreamConnection> dial(InetSocketAddress to, ChannelListener<StreamConnection> opened) {
        FutureResult<StreamConnection> dial = new FutureResult<>();
        dial.addCancelHandler(() -> {
            dial.setCancelled();
            return null;
        });
        dials.add(dial);
        dialListeners.add(opened);
        return dial.getIoFuture();
    }

    AttemptExchange startIdempotentAttempt() throws Exception {
        return startAttempt(false);
    }

    AttemptExchange startNonIdempotentAttempt() throws Exception {
        return startAttempt(true);
    }

    private AttemptExchange startAttempt(boolean nonIdempotent) throws Exception {
        AttemptExchange[] attempt = new AttemptExchange[1];
        runOnThread(() -> attempt[0] = startAttemptOnThread(nonIdempotent, ConnectionPoolFixture::oneByte));
        return attempt[0];
    }

    AttemptExchange startAttemptOnThread(boolean nonIdempotent, Supplier<ByteBuffer[]> message) {
        return pool.startAttempt(1, new AttemptRequest("t", nonIdempotent, deadline, message, Span.ZERO),
                listener);
    }

    static ByteBuffer[] oneByte() {
        return new ByteBuffer[]{ByteBuffer.wrap(new byte[]{'x'})};
    }

    /** Connects a dial to a new pipe and returns the pipe, whose right side is the worker's end. */
    ChannelPipe<StreamConnection, StreamConnection> connect(int dialNumber) throws Exception {
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        runOnThread(() -> dialListeners.get(dialNumber).handleEvent(pipe.getLeftSide()));
        return pipe;
    }

    /** Connects the latest dial and returns the worker's end of the pipe. */
    StreamConnection connectLatest() throws Exception {
        return connect(dialListeners.size() - 1).getRightSide();
    }

    /** Completes one attempt so that its connection becomes idle, and returns the worker's end. */
    StreamConnection createIdleConnection() throws Exception {
        startIdempotentAttempt();
        StreamConnection worker = connect(0).getRightSide();
        write(worker, EMPTY_ERROR_RESPONSE);
        awaitOutcomes(1);
        return worker;
    }

    void awaitOutcomes(int count) throws Exception {
        until("outcome " + count, () -> outcomes.size() == count);
    }

    int openCount() throws Exception {
        int[] count = new int[1];
        runOnThread(() -> count[0] = dialer.openCount());
        return count[0];
    }

    static void write(StreamConnection to, String text) {
        try {
            to.getSinkChannel().write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a complete response with one line in one chunk. */
    static String chunked(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                + "\r\n"
                + line + "\r\n0\r\n\r\n";
    }

    /** Records the outcomes of attempts. Their clients never leave. */
    private final class OutcomeRecorder implements AttemptListener {
        @Override
        public boolean isClientWaiting() {
            return true;
        }

        @Override
        public void onStarted() {
            // The tests check outcomes only.
        }

        @Override
        public void onProgress(double share) {
            // The tests check outcomes only.
        }

        @Override
        public void onLoadReport(long workerNumber, LoadReport load) {
            // The tests check outcomes only.
        }

        @Override
        public void onOutcome(AttemptOutcome outcome, byte[] result) {
            outcomes.add(outcome);
        }
    }
}
