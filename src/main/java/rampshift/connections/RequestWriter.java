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
 * delayed: until it is written, the peer can't have processed the request.
 */
final class RequestWriter {
    /** Receives the events of the request that is being written. */
    interface Listener {
        /**
         * Returns whether a delayed last byte may be written. Before it returns false, the listener must call
         * {@link RequestWriter#cancel}.
         */
        boolean mayWriteLastByte();

        /** Called when the last byte has been written. */
        void onRequestWritten();

        /** Called if the connection fails. */
        void onWriteFailure(IOException cause);
    }

    private final XnioIoThread thread;
    private final ConduitStreamSinkChannel sink;
    private final Listener listener;
    /** The buffers being written; null if there are none, or if only a delayed last byte is left. */
    private ByteBuffer[] pending;
    private ByteBuffer delayedLastByte;
    private Span lastByteDelay;
    private IoTimer lastByteTimer;

    RequestWriter(XnioIoThread thread, StreamConnection channel, Listener listener) {
        this.thread = thread;
        this.listener = listener;
        sink = channel.getSinkChannel();
        sink.setWriteListener(ignored -> write());
    }

    /**
     * Writes a request. The listener may be called before this method returns.
     *
     * @param request buffers that together contain at least one byte
     * @param delay the delay of the last byte after the others; zero to write it with them
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
            // All buffers are checked, since a request without a body ends with an empty buffer.
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
            lastByteTimer = IoTimer.notBefore(thread, lastByteDelay, this::writeLastByte);
        }
    }

    private void writeLastByte() {
        lastByteTimer = null;
        if (!listener.mayWriteLastByte()) {
            return;
        }
        pending = new ByteBuffer[]{delayedLastByte};
        delayedLastByte = null;
        write();
    }

    /** Stops writing, and drops the bytes that have not been written. */
    void cancel() {
        pending = null;
        delayedLastByte = null;
        if (lastByteTimer != null) {
            lastByteTimer.cancel();
            lastByteTimer = null;
        }
    }
}
