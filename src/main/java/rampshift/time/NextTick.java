package rampshift.time;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Runs an action at the next poll of an I/O thread. XNIO runs all due tasks and timers, including those that
 * become due meanwhile, before it polls its sockets: an action that reschedules itself as a task or a timer
 * delays all sockets indefinitely. Therefore the action is triggered by a pipe from the thread to itself,
 * which takes two file descriptors.
 */
public final class NextTick {
    /** The byte that is written to the pipe to wake the thread, and into which it is read back. */
    private final ByteBuffer wakeUpByte = ByteBuffer.allocateDirect(1);
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private Runnable pending;

    /**
     * Opens the pipe. All methods, including this constructor, must be called on that thread.
     *
     * @throws IOException if the pipe can't be opened
     */
    public NextTick(XnioIoThread thread) throws IOException {
        pipe = thread.createHalfDuplexPipe();
        pipe.getLeftSide().getReadSetter().set(source -> onSignal());
        pipe.getLeftSide().resumeReads();
    }

    /** Runs an action at the next poll, in place of the pending one, if any. */
    public void run(Runnable action) {
        boolean signaled = pending != null;
        pending = action;
        if (!signaled) {
            try {
                pipe.getRightSide().write(wakeUpByte.clear());
            } catch (IOException e) {
                throw pipeFailure(e);
            }
        }
    }

    private void onSignal() {
        try {
            if (pipe.getLeftSide().read(wakeUpByte.clear()) > 0) {
                Runnable current = pending;
                pending = null;
                current.run();
            }
        } catch (IOException e) {
            throw pipeFailure(e);
        }
    }

    private static IllegalStateException pipeFailure(IOException cause) {
        return new IllegalStateException("the wake-up pipe of the I/O thread failed", cause);
    }

    /** Closes the pipe; a pending action does not run. */
    public void close() {
        pending = null;
        IoUtils.safeClose(pipe.getLeftSide());
        IoUtils.safeClose(pipe.getRightSide());
    }
}
