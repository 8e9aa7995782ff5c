package rampshift.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.xnio.FutureResult;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import rampshift.IoThreadExtension;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/**
 * Tests timeouts on a delayed thread. XNIO runs due timers before it polls its sockets: a thread that was
 * delayed by more than the timeout failed each dial as "connect timed out" although the connection was open.
 * At four times the sustainable load, 194 of 417 profile samples of a dispatcher were in {@code Dial.fail},
 * and workers received 16 starts, 49 health checks and no attempt.
 */
class DialerTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final Span DIAL_TIMEOUT = Span.ofMillis(20);
    private static final long BLOCKED_MILLIS = 60;

    @RegisterExtension
    final IoThreadExtension ioThread = new IoThreadExtension();

    /** The connection is open at once, while the thread is blocked for three times the timeout. */
    @Test
    void anOpenConnectionIsAcceptedByADelayedThread() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> result = new CompletableFuture<>();
            ioThread.thread().execute(() -> {
                new Dialer(ioThread.thread()).dial((InetSocketAddress) server.getLocalSocketAddress(),
                        DIAL_TIMEOUT,
                        new ResultListener(result));
                blockThread();
            });
            assertEquals("connected", result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void anUnansweredDialTimesOutOnce() throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        ioThread.thread().execute(
                () -> new Dialer(ioThread.thread(),
                        (address, listener) -> new FutureResult<StreamConnection>()
                                .getIoFuture())
                        .dial(null, DIAL_TIMEOUT, new ResultListener(result)));
        assertEquals("connect timed out", result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** The input that ends the wait arrives, and the timeout passes, before the thread checks its timers. */
    @Test
    void pendingInputIsHandledBeforeATimeout() throws Exception {
        CompletableFuture<String> first = new CompletableFuture<>();
        var pipe = ioThread.thread().createFullDuplexPipeConnection();
        StreamConnection localEnd = pipe.getLeftSide();
        ioThread.thread().execute(() -> {
            IoTimer timer = IoTimer.timeout(ioThread.thread(), DIAL_TIMEOUT,
                    new Dialer(ioThread.thread()).readBarrier(),
                    () -> first.complete("timeout"));
            localEnd.getSourceChannel().setReadListener(source -> {
                timer.cancel();
                source.suspendReads();
                first.complete("input");
            });
            localEnd.getSourceChannel().resumeReads();
            write(pipe.getRightSide());
            blockThread();
        });
        assertEquals("input", first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        IoUtils.safeClose(localEnd, pipe.getRightSide());
    }

    private static void write(StreamConnection to) {
        try {
            to.getSinkChannel().write(ByteBuffer.wrap("x".getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void blockThread() {
        try {
            Thread.sleep(BLOCKED_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record ResultListener(CompletableFuture<String> result) implements Dialer.DialListener {
        @Override
        public void onConnected(HttpConnection connection) {
            connection.close();
            result.complete("connected");
        }

        @Override
        public void onUnreachable(String reason) {
            result.complete(reason);
        }
    }
}
