package rampshift.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelPipe;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.time.Clock;
import rampshift.time.Span;

/** Tests attempts and their connections. The tests decide when a dial succeeds. */
class ConnectionPoolTest extends ConnectionPoolFixture {
    ConnectionPoolTest() throws IOException {}

    @Test
    void aDialToAnUnreachableWorkerEndsAfterTheDialTimeout() throws Exception {
        createPoolWithDialTimeout(20);
        startIdempotentAttempt();
        until("outcome", () -> !outcomes.isEmpty());
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION), outcomes);
        assertEquals(IoFuture.Status.CANCELLED, dials.get(0).getIoFuture().getStatus(),
                "its socket is released");
        runOnThread(() -> assertEquals(0, dialer.openCount()));
    }

    /**
     * A busy thread left a drain notice unread for 0.4 s, and sent tasks by the endpoint list before that
     * notice.
     */
    @Test
    void readsPendingEndpointUpdatesBeforeTheFirstByte() throws Exception {
        createPool();
        startIdempotentAttempt();
        runOnThread(() -> pool.setFirstByteHook(() -> listWorker(ADDRESS, "a/m", 0, false)));
        connect(0);
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    /** A process that had been suspended handled the open connection before the deadline that had passed. */
    @Test
    void writesNothingAfterTheDeadline() throws Exception {
        createPool();
        deadline = new Clock().now().plus(Span.ofMillis(50));
        startIdempotentAttempt();
        Thread.sleep(100);
        connect(0);
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    /** The worker was chosen for its placement: a task that is bound to a zone must not run in another. */
    @ParameterizedTest
    @ValueSource(strings = {"b/m", "a/n"})
    void writesNothingToAWorkerThatChangesItsPlacementDuringTheDial(String placement) throws Exception {
        createPool();
        startIdempotentAttempt();
        runOnThread(() -> listWorker(ADDRESS, placement, 0, true));
        connect(0);
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    }

    @Test
    void writesNothingToAWorkerThatBeginsToDrainDuringTheDial() throws Exception {
        createPool();
        startIdempotentAttempt();
        runOnThread(() -> listWorker(ADDRESS, "a/m", 0, false));
        StreamConnection worker = connect(0).getRightSide();
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
        assertEquals(1, counters.get(Counters.Name.ATTEMPTS_WITHHELD));
        assertEquals(-1, worker.getSourceChannel().read(ByteBuffer.allocate(10)), "only the end of stream");
    }

    @Test
    void anAttemptThatIsCancelledNeverRanBeforeItsLastByteAndMayHaveRunAfterIt() throws Exception {
        createPool();
        AttemptExchange dialing = startIdempotentAttempt();
        runOnThread(dialing::cancel);
        AttemptExchange sent = startIdempotentAttempt();
        connect(1);
        runOnThread(sent::cancel);
        assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.CALLED_OFF), outcomes);
        runOnThread(() -> assertEquals(0, dialer.openCount()));
    }

    /** Connections that were in use while their worker moved were reused: tasks went to its old address. */
    @ParameterizedTest
    @CsvSource({"elsewhere,a/m,0", "worker,a/m,5", "worker,b/m,0", "worker,a/n,0"})
    void closesABorrowedConnectionIfItsWorkerMovedOrRestarted(String host, String placement, long startedAtMs)
            throws Exception {
        createPool();
        startIdempotentAttempt();
        StreamConnection worker = connect(0).getRightSide();
        InetSocketAddress address = InetSocketAddress.createUnresolved(host, 1);
        runOnThread(() -> listWorker(address, placement, startedAtMs, true));
        write(worker, EMPTY_ERROR_RESPONSE);
        until("outcome", () -> !outcomes.isEmpty());
        runOnThread(() -> assertEquals(0, dialer.openCount()));
        startIdempotentAttempt();
        assertEquals(2, dials.size(), "a new connection is dialed");
    }

    /** Non-idempotent tasks failed on idle connections that were reset at the next request. */
    @Test
    void aNonIdempotentTaskNeverRanIfItsConnectionIsResetBeforeTheLastByte() throws Exception {
        createPool();
        resetConnectionsBeforeTheLastByte();
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION, AttemptOutcome.ERRED, AttemptOutcome.NOT_SENT),
                outcomes);
        assertEquals(2, dials.size(), "the last attempt reused the idle connection");
    }

    @Test
    void nonIdempotentTasksAvoidIdleConnectionsAfterAStaleOne() throws Exception {
        createPool();
        resetConnectionsBeforeTheLastByte();
        startIdempotentAttempt();
        StreamConnection idle = connect(2).getRightSide();
        write(idle, EMPTY_ERROR_RESPONSE);
        awaitOutcomes(4);
        startNonIdempotentAttempt();
        assertEquals(4, dials.size(), "after a stale connection no idle one is reused");
        StreamConnection fresh = connect(3).getRightSide();
        ByteBuffer received = ByteBuffer.allocate(10);
        until("the last byte", () -> fresh.getSourceChannel().read(received) == 1);
        startIdempotentAttempt();
        assertEquals(4, dials.size(), "an idempotent task reuses an idle connection");
        runOnThread(() -> IoUtils.safeClose(idle));
        awaitOutcomes(5);
        assertEquals(AttemptOutcome.STALE, outcomes.get(4),
                "it may have run, and the worker is not at fault");
    }

    /**
     * Resets a new connection, and then an idle one, while the last byte of a non-idempotent task is
     * delayed.
     */
    private void resetConnectionsBeforeTheLastByte() throws Exception {
        startNonIdempotentAttempt();
        StreamConnection first = connect(0).getRightSide();
        runOnThread(() -> IoUtils.safeClose(first));
        awaitOutcomes(1);
        startIdempotentAttempt();
        StreamConnection idle = connect(1).getRightSide();
        write(idle, EMPTY_ERROR_RESPONSE);
        awaitOutcomes(2);
        // A non-idempotent task needs a connection that was idle for a tenth of the dial timeout.
        Thread.sleep(2100);
        startNonIdempotentAttempt();
        ByteBuffer received = ByteBuffer.allocate(10);
        idle.getSourceChannel().read(received);
        assertEquals(1, received.position(), "nothing of the second task yet");
        runOnThread(() -> IoUtils.safeClose(idle));
        awaitOutcomes(3);
    }

    /** The worker closed the connection, and the busy I/O thread has not read the end of the stream yet. */
    @Test
    void anIdleConnectionWithUnreadEndOfStreamIsNotReused() throws Exception {
        createPool();
        StreamConnection worker = createIdleConnection();
        runOnThread(() -> {
            IoUtils.safeClose(worker);
            startAttemptOnThread(false, ConnectionPoolFixture::oneByte);
        });
        assertEquals(2, dials.size(), "a new connection is dialed");
        runOnThread(() -> assertEquals(1, dialer.openCount(), "the idle connection was closed"));
    }

    /** The cleanup runs twice a second, or later if the thread is delayed. */
    @Test
    void anExpiredIdleConnectionIsNotReusedBeforeTheNextCleanup() throws Exception {
        createPoolWithIdleTimeout(20);
        createIdleConnection();
        Thread.sleep(30);
        startIdempotentAttempt();
        assertEquals(2, dials.size(), "a new connection is dialed");
    }

    /**
     * A duplicate rejection of the previous task was taken for a rejection of this task, which then ran at
     * two workers.
     */
    @Test
    void aDuplicateResponseIsNotTakenForTheResponseToANonIdempotentTask() throws Exception {
        createPool();
        StreamConnection worker = createIdleConnection();
        startNonIdempotentAttempt();
        write(worker, "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(2, dials.size(), "it uses a new connection");
        StreamConnection fresh = connect(1).getRightSide();
        ByteBuffer received = ByteBuffer.allocate(10);
        until("request", () -> fresh.getSourceChannel().read(received) > 0);
        assertEquals(1, outcomes.size(), "its outcome is not known yet");
    }

    /**
     * If the response ends before the bytes that determine the outcome, the task may have run. After them the
     * outcome is final.
     */
    @ParameterizedTest
    @EnumSource(value = AttemptOutcome.class, names = {"FINISHED", "ERRED", "FULL", "BROKEN"})
    void aTruncatedResponseDeterminesWhetherTheTaskMayHaveRun(AttemptOutcome outcome) throws Exception {
        createPool();
        String response = switch (outcome) {
            case FINISHED -> chunked("{\"id\":\"t\",\"state\":\"done\",\"result\":\"r\"}\n");
            case ERRED -> "HTTP/1.1 500 x\r\nContent-Length: 3\r\n\r\nodd";
            case FULL -> "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 3\r\n\r\nodd";
            default -> chunked("{\"id\":\"t\",\"state\":\"lost\"}\n");
        };
        String decisive = response.contains("state") ? "}\n" : "\r\n\r\n";
        int decidedAt = response.indexOf(decisive) + decisive.length();
        for (int cut = 0; cut < response.length(); cut++) {
            outcomes.clear();
            startIdempotentAttempt();
            StreamConnection worker = connectLatest();
            write(worker, response.substring(0, cut));
            IoUtils.safeClose(worker);
            until("outcome", () -> !outcomes.isEmpty());
            until("the connection is closed", () -> openCount() == 0);
            assertEquals(List.of(cut < decidedAt ? AttemptOutcome.BROKEN : outcome), outcomes,
                    "cut after " + cut);
        }
    }

    /**
     * After an early rejection the task was sent to the next worker, and its last byte was still written to
     * the first one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 5\r\n\r\n",
            "HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\n", "H"})
    void aResponseThatBeginsBeforeTheLastByteIsWrittenEndsAnAttemptThatNeverRan(String response)
            throws Exception {
        createPool();
        startNonIdempotentAttempt();
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        runOnThread(() -> {
            dialListeners.get(0).handleEvent(pipe.getLeftSide());
            write(pipe.getRightSide(), response);
        });
        until("outcome", () -> !outcomes.isEmpty());
        ByteBuffer received = ByteBuffer.allocate(10);
        until("the connection is closed", () -> pipe.getRightSide().getSourceChannel().read(received) < 0);
        assertEquals(0, received.position(), "no last byte");
        assertEquals(List.of(AttemptOutcome.NO_CONNECTION), outcomes);
        runOnThread(() -> assertEquals(0, dialer.openCount()));
    }

    /** Parsing takes longer than writing, so that input is always pending. */
    @Test
    void anEndlessResponseDoesNotBlockTheThread() throws Exception {
        createPool();
        AttemptExchange attempt = startIdempotentAttempt();
        StreamConnection worker = connectLatest();
        write(worker, "HTTP/1.1 200 OK\r\n\r\n");
        AtomicLong sentBytes = new AtomicLong();
        Thread flood = new Thread(() -> writeEndlessly(worker, sentBytes));
        flood.setDaemon(true);
        flood.start();
        until("the endless response is in progress", () -> sentBytes.get() > 4_000_000);
        FutureTask<Void> cancellation = new FutureTask<>(attempt::cancel, null);
        thread.execute(cancellation);
        cancellation.get(10, TimeUnit.SECONDS);
        assertEquals(List.of(AttemptOutcome.CALLED_OFF), outcomes, "it may have run");
        flood.join(10_000);
        assertTrue(!flood.isAlive(), "the connection is closed");
    }

    /**
     * Writes lines until the peer closes the connection, without a pause, so that more input is available
     * after each read.
     */
    private static void writeEndlessly(StreamConnection connection, AtomicLong sentBytes) {
        byte[] text = "{\"id\":\"t\",\"state\":\"x\"}\n".repeat(2000).getBytes(StandardCharsets.UTF_8);
        ByteBuffer lines = ByteBuffer.wrap(text);
        try {
            while (true) {
                lines.rewind();
                while (lines.hasRemaining()) {
                    sentBytes.addAndGet(connection.getSinkChannel().write(lines));
                }
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    /**
     * Guards against unlimited memory for incomplete responses: without a limit for all of them together, the
     * heap is exhausted and the I/O thread ends.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX-Endless: ", "HTTP/1.1 200 OK\r\n\r\n"})
    void theResponseThatIsIncompleteForTheLongestTimeIsDropped(String begin) throws Exception {
        createPool(40, 20_000, 60_000);
        String half = begin + "x".repeat(7_000);
        int responses = 2 * MAX_RESPONSE_BYTES / 8192;
        for (int i = 0; i < responses; i++) {
            startIdempotentAttempt();
            write(connect(i).getRightSide(), half);
            int inFlight = i + 1 - responses / 2;
            until("dropped down to the limit", () -> outcomes.size() == Math.max(0, inFlight));
        }
        assertEquals(Collections.nCopies(responses / 2, AttemptOutcome.TIMED_OUT), outcomes);
        startIdempotentAttempt();
        write(connect(responses).getRightSide(), chunked("{\"id\":\"t\",\"state\":\"done\"}\n"));
        until("a sound response", () -> outcomes.contains(AttemptOutcome.FINISHED));
        runOnThread(() -> {
            assertEquals(MAX_RESPONSE_BYTES, pool.responseMemory().reservedBytes());
            assertEquals(responses / 2, counters.get(Counters.Name.RESPONSES_DROPPED));
            assertEquals(responses / 2 + 1, dialer.openCount(),
                    "connections of dropped responses are closed");
        });
    }

    /** A last line without an id may be about the previous task. */
    @ParameterizedTest
    @CsvSource({"returned", "done", "lost"})
    void aLastLineWithoutAnIdMeansThatTheTaskMayHaveRun(String state) throws Exception {
        createPool();
        startIdempotentAttempt();
        write(connectLatest(), chunked("{\"state\":\"" + state + "\"}\n"));
        until("outcome", () -> !outcomes.isEmpty());
        assertEquals(List.of(AttemptOutcome.BROKEN), outcomes);
    }

    /** The checks before the first byte may take some time, and the message contains the remaining time. */
    @Test
    void theMessageIsCreatedOnceItMayBeWritten() throws Exception {
        createPool();
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        runOnThread(() -> {
            pool.setFirstByteHook(() -> order.add("hook"));
            startAttemptOnThread(false, () -> {
                order.add("message");
                return oneByte();
            });
        });
        connectLatest();
        assertEquals(List.of("hook", "message"), order);
    }

    @Test
    void aTaskIsNotSentIfAllConnectionsAreInUse() throws Exception {
        createPoolWithMaxConnections(1);
        startIdempotentAttempt();
        startIdempotentAttempt();
        assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
        assertEquals(1, dials.size(), "no more sockets than allowed");
    }
}
