package rampshift.time;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs something once an I/O thread has looked at its sockets. XNIO runs all tasks and timers that are due,
 * and those that
 * become due meanwhile, before it looks: what hands itself on as either keeps every socket waiting. So it is
 * told by a
 * pipe to itself, which takes two descriptors.
 */
public final class NextTick {
    private final ByteBuffer one = ByteBuffer.allocateDirect(1);
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private Runnable next;

    /** To be called, as all else here is, on that thread. */
    public NextTick(XnioIoThread thread) throws IOException {
        pipe = thread.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(c -> come());
        pipe.getLeftSide().resumeReads();
    }

    /** In place of what was to run then before. */
    public void run(Runnable what) {
        boolean asked = next != null;
        next = what;
        if (!asked) {
            try {
                pipe.getRightSide().write(one.clear());
            } catch (IOException e) {
                throw new IllegalStateException("a pipe of this process broke", e);
            }
        }
    }

    private void come() {
        try {
            if (pipe.getLeftSide().read(one.clear()) > 0) {
                Runnable now = next;
                next = null;
                now.run();
            }
        } catch (IOException e) {
            throw new IllegalStateException("a pipe of this process broke", e);
        }
    }

    /** Gives back the pipe; what was to run does not. */
    public void close() {
        next = null;
        IoUtils.safeClose(pipe.getLeftSide());
        IoUtils.safeClose(pipe.getRightSide());
    }
}
