package rampshift.testbed.links;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.function.Consumer;

/** Relays one stream between two dispatchers in both directions, with the faults of their links. */
final class StreamRelay {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final double MAX_WRITE_MS = 200;

    private final SelectorLoop loop;
    private final SocketChannel downstream;
    private final SocketChannel upstream;
    private final LinkFaults forward;
    private final LinkFaults backward;
    private final Consumer<StreamRelay> onEnd;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private boolean ended;

    /**
     * Creates a relay that transfers nothing yet.
     *
     * @param downstream the connection from the dispatcher that opened the stream
     * @param upstream the connection to the other dispatcher; null to accept the stream without transferring
     *        anything
     * @param forward the faults of the link from downstream to upstream
     * @param backward the faults of the link from upstream to downstream
     * @param onEnd called when the relay ends; may be called more than once
     */
    StreamRelay(SelectorLoop loop, SocketChannel downstream, SocketChannel upstream, LinkFaults forward,
            LinkFaults backward,
            Consumer<StreamRelay> onEnd) throws IOException {
        this.loop = loop;
        this.downstream = downstream;
        this.upstream = upstream;
        this.forward = forward;
        this.backward = backward;
        this.onEnd = onEnd;
        downstream.configureBlocking(false);
    }

    /** Starts to transfer once the connection to the other dispatcher is established. */
    void onConnected() {
        try {
            upstream.finishConnect();
            loop.register(downstream, SelectionKey.OP_READ, () -> transfer(downstream, upstream, forward));
            loop.register(upstream, SelectionKey.OP_READ, () -> transfer(upstream, downstream, backward));
            applyCuts();
        } catch (IOException e) {
            end();
        }
    }

    /**
     * Stops reading in a direction whose link is cut, so that bytes wait in the socket buffers as on a
     * partitioned network.
     */
    void applyCuts() {
        setReadable(downstream, !forward.isCut());
        setReadable(upstream, !backward.isCut());
    }

    private void setReadable(SocketChannel channel, boolean readable) {
        SelectionKey key = channel == null ? null : loop.registration(channel);
        if (key != null && key.isValid() && key.interestOps() != SelectionKey.OP_CONNECT) {
            key.interestOps(readable ? SelectionKey.OP_READ : 0);
        }
    }

    private void transfer(SocketChannel from, SocketChannel to, LinkFaults faults) {
        try {
            buffer.clear();
            int count = from.read(buffer);
            if (count < 0) {
                loop.runAfter(faults.streamDelayMs(), this::end);
                loop.registration(from).cancel();
                return;
            }
            byte[] bytes = Arrays.copyOf(buffer.array(), count);
            loop.runAfter(faults.streamDelayMs(), () -> write(to, bytes));
        } catch (IOException e) {
            end();
        }
    }

    private void write(SocketChannel to, byte[] bytes) {
        try {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            double deadlineMs = SelectorLoop.nowMs() + MAX_WRITE_MS;
            while (remaining.hasRemaining() && !ended) {
                if (to.write(remaining) == 0) {
                    // Messages are smaller than socket buffers, so only the buffers of a suspended process
                    // fill up.
                    if (SelectorLoop.nowMs() > deadlineMs) {
                        end();
                    }
                    Thread.onSpinWait();
                }
            }
        } catch (IOException e) {
            end();
        }
    }

    /** Closes both connections. */
    void end() {
        ended = true;
        onEnd.accept(this);
        try {
            downstream.close();
            if (upstream != null) {
                upstream.close();
            }
        } catch (IOException e) {
            // The connection is unusable in either case.
        }
    }
}
