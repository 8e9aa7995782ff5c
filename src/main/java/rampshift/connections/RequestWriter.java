package rampshift.connections;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.Buffers;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/**
 * Writes requests to one connection, one at a time, on the I/O thread. The last byte of a request can be
 * delayed, so that it is known for longer that the peer can't have acted on the request.
 */
final class RequestWriter {
    /** Receives the events of the request that is being written. */
    interface Listener {
        /**
         * Asked before a delayed last byte is written; after false, {@link RequestWriter#cancel} has been
         * called.
         */
        boolean mayWriteLastByte();

        /** The last byte has been written. */
        void onRequestWritten();

        /** The connection failed. */
        void onWriteFailure(IOException cause);
    }

    private final XnioIoThread thread;
    private final ConduitStreamSinkChannel sink;
    private final Listener listener;
    /** What is being written; null if nothing is, or if only a delayed last byte is left. */
    private ByteBuffer[] pending;
    private ByteBuffer delayedLastByte;
    private Span lastByteDelay;
    private IoTimer timer;

    RequestWriter(XnioIoThread thread, StreamConnection channel, Listener listener) {
        this.thread = thread;
        this.listener = listener;
        sink = channel.getSinkChannel();
        sink.setWriteListener(ignored -> write());
    }

    /**
     * Writes a request. The listener may be called before this method returns.
     *
     * @param request buffers that hold at least one byte together
     * @param delay how long the last byte is written after the others; zero to write it with them
     */
    void start(ByteBuffer[] request, Span delay) {
        pending = request;
        if (delay.micros() > 0) {
            delayedLastByte = removeLastByte(request);
            lastByteDelay = delay;
        }
        write();
    }

    private static ByteBuffer removeLastByte(ByteBuffer[] buffers) {
        int index = buffers.length - 1;
        while (!buffers[index].hasRemaining()) {
            index--;
        }
        ByteBuffer last = buffers[index];
        byte lastByte = last.get(last.limit() - 1);
        last.limit(last.limit() - 1);
        return ByteBuffer.wrap(new byte[]{lastByte});
    }

    private void write() {
        if (pending == null) {
            sink.suspendWrites();
            return;
        }
        try {
            // All buffers are checked: a request without a body ends with an empty one.
            while (Buffers.hasRemaining(pending)) {
                if (sink.write(pending, 0, pending.length) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
        } catch (IOException e) {
            listener.onWriteFailure(e);
            return;
        }
        pending = null;
        sink.suspendWrites();
        if (delayedLastByte == null) {
            listener.onRequestWritten();
        } else {
            timer = IoTimer.notBefore(thread, lastByteDelay, this::writeLastByte);
        }
    }

    private void writeLastByte() {
        timer = null;
        if (!listener.mayWriteLastByte()) {
            return;
        }
        pending = new ByteBuffer[]{delayedLastByte};
        delayedLastByte = null;
        write();
    }

    /** Stops writing; what has not been written is dropped. */
    void cancel() {
        pending = null;
        delayedLastByte = null;
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
