package rampshift.time;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioIoThread;
import rampshift.log.Log;

/**
 * Runs actions after all input has been handled that had arrived at the sockets of an I/O thread. The sockets
 * are polled twice, since the events of one poll are handled in no particular order. XNIO runs due timers
 * before it polls: without the barrier, the timeouts of a delayed thread would fire although the input that
 * they wait for has arrived.
 *
 * <p>File descriptors are held only while an action waits. If none are left, the action runs at once.
 */
public final class ReadBarrier {
    private final XnioIoThread thread;
    /** Null while no action waits. */
    private NextTick nextTick;
    /** The actions that wait for their first poll, and those that wait for their second poll. */
    private List<Runnable> awaitingFirstPoll = new ArrayList<>();
    private List<Runnable> awaitingSecondPoll = new ArrayList<>();

    /** Creates a barrier whose methods must be called on this thread. */
    public ReadBarrier(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Runs an action after the input that has arrived by now has been handled. */
    public void run(Runnable action) {
        try {
            if (nextTick == null) {
                nextTick = new NextTick(thread);
            }
        } catch (IOException e) {
            Log.warn("read-barrier", "broke", e.getMessage());
            action.run();
            return;
        }
        awaitingFirstPoll.add(action);
        nextTick.run(this::onTick);
    }

    private void onTick() {
        List<Runnable> ready = awaitingSecondPoll;
        awaitingSecondPoll = awaitingFirstPoll;
        awaitingFirstPoll = new ArrayList<>();
        if (!awaitingSecondPoll.isEmpty()) {
            nextTick.run(this::onTick);
        }
        ready.forEach(Runnable::run);
        if (awaitingSecondPoll.isEmpty() && awaitingFirstPoll.isEmpty() && nextTick != null) {
            nextTick.close();
            nextTick = null;
        }
    }
}
