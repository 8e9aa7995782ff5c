package rampshift.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.xnio.ChannelPipe;
import org.xnio.FutureResult;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.IoThreadExtension;
import rampshift.time.Span;

/** Tests a connection over a pipe. */
class HttpConnectionTest {
    /** The response is far longer than what may be read at once, but ends, so that a failing test ends. */
    private static final int RESPONSE_BYTES = 4 * HttpConnection.MAX_BYTES_PER_POLL;
    private static final int TIMEOUT_SECONDS = 20;

    @RegisterExtension
    final IoThreadExtension ioThread = new IoThreadExtension();
    private HttpConnection connection;

    /** A peer that sent data faster than it was read blocked the I/O thread forever. */
    @Test
    void anEndlessResponseYieldsTheThreadAfterABoundedNumberOfBytes() throws Exception {
        BodyCounter counter = new BodyCounter();
        StreamConnection peer = startExchangeWithFloodingPeer(counter);
        peer.getSinkChannel().write(ByteBuffer.wrap(new byte[]{'x'}));
        int count = counter.bytesBeforeNextTask.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(count > 0 && count <= HttpConnection.MAX_BYTES_PER_READ_EVENT, "bytes: " + count);
        assertEquals(RESPONSE_BYTES, counter.allBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the rest is read later");
    }

    @Test
    void aPollOfAnEndlessResponseEnds() throws Exception {
        BodyCounter counter = new BodyCounter();
        startExchangeWithFloodingPeer(counter);
        CompletableFuture<Integer> polledBytes = new CompletableFuture<>();
        ioThread.thread().execute(() -> {
            connection.poll();
            polledBytes.complete(counter.count);
        });
        int count = polledBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(count > 0 && count <= HttpConnection.MAX_BYTES_PER_POLL, "bytes: " + count);
    }

    private StreamConnection startExchangeWithFloodingPeer(ExchangeListener listener) throws Exception {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                ioThread.thread().createFullDuplexPipeConnection();
        StreamConnection localEnd = pipe.getLeftSide();
        localEnd.getSourceChannel().setConduit(new FloodingConduit(localEnd.getSourceChannel().getConduit()));
        CompletableFuture<Void> started = new CompletableFuture<>();
        ioThread.thread().execute(() -> {
            connection = new HttpConnection(dialerOfOneOpenConnection(), localEnd);
            connection.exchange(listener, ByteBuffer.wrap(new byte[]{'x'}));
            started.complete(null);
        });
        started.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return pipe.getRightSide();
    }

    private Dialer dialerOfOneOpenConnection() {
        Dialer dialer =
                new Dialer(ioThread.thread(), (address, listener) -> new FutureResult<StreamConnection>()
                        .getIoFuture());
        dialer.dial(InetSocketAddress.createUnresolved("peer", 1), Span.ofMillis(1_000_000), null);
        return dialer;
    }

    /** Counts the bytes of a body, and those that are read before a task runs that the first one queues. */
    private final class BodyCounter implements ExchangeListener {
        private final CompletableFuture<Integer> bytesBeforeNextTask = new CompletableFuture<>();
        private final CompletableFuture<Integer> allBytes = new CompletableFuture<>();
        private int count;

        @Override
        public void onBody(byte[] bytes, int offset, int length) {
            if (count == 0) {
                ioThread.thread().execute(() -> bytesBeforeNextTask.complete(count));
            }
            count += length;
        }

        @Override
        public void onComplete() {
            allBytes.complete(count);
        }

        @Override
        public void onFailure(String reason) {
            allBytes.completeExceptionally(new IOException(reason));
        }
    }

    /** Provides a part of the response at each read, as if the peer had just sent it. */
    private static final class FloodingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private static final String HEAD =
                "HTTP/1.1 200 OK\r\nContent-Length: " + RESPONSE_BYTES + "\r\n\r\n";
        private boolean headSent;

        FloodingConduit(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer target) {
            if (!headSent) {
                headSent = true;
                byte[] head = HEAD.getBytes(StandardCharsets.US_ASCII);
                target.put(head);
                return head.length;
            }
            int count = target.remaining();
            target.put(new byte[count]);
            return count;
        }
    }
}
