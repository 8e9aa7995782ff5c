package rampshift.time;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs an action once an I/O thread has looked at its sockets. XNIO runs all tasks and timers that are due,
 * and those that become due meanwhile, before it looks: an action that reschedules itself as either keeps
 * every socket waiting. So the action is triggered by a pipe from the thread to itself, which takes two
 * descriptors.
 */
public final class NextTick {
    private final ByteBuffer signal = ByteBuffer.allocateDirect(1);
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private Runnable pending;

    /**
     * Opens the pipe. To be called, as all other methods are, on that thread.
     *
     * @throws IOException where no pipe can be opened
     */
    public NextTick(XnioIoThread thread) throws IOException {
        pipe = thread.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(source -> onSignal());
        pipe.getLeftSide().resumeReads();
    }

    /** Runs an action at the next tick, in place of the one that was to run then before. */
    public void run(Runnable action) {
        boolean signaled = pending != null;
        pending = action;
        if (!signaled) {
            try {
                pipe.getRightSide().write(signal.clear());
            } catch (IOException e) {
                throw brokenPipe(e);
            }
        }
    }

    private void onSignal() {
        try {
            if (pipe.getLeftSide().read(signal.clear()) > 0) {
                Runnable current = pending;
                pending = null;
                current.run();
            }
        } catch (IOException e) {
            throw brokenPipe(e);
        }
    }

    private static IllegalStateException brokenPipe(IOException cause) {
        return new IllegalStateException("a pipe of this process broke", cause);
    }

    /** Gives back the pipe; a pending action does not run. */
    public void close() {
        pending = null;
        IoUtils.safeClose(pipe.getLeftSide());
        IoUtils.safeClose(pipe.getRightSide());
    }
}
