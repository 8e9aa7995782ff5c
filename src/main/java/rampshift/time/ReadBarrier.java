package rampshift.time;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioIoThread;
import rampshift.log.Log;

/**
 * Runs actions once everything that had arrived at the thread's sockets by then has been handed on: the
 * sockets are polled twice, since a poll hands on what it found in no order. XNIO runs timers that are due
 * before it polls, so that a thread that was held up takes what lies unread for a timeout.
 *
 * <p>It holds descriptors only while an action waits. Where there are none, the action runs at once.
 */
public final class ReadBarrier {
    private final XnioIoThread thread;
    /** Null while nothing waits. */
    private NextTick tick;
    /** What waits for the first poll, and for the second one. */
    private List<Runnable> unpolled = new ArrayList<>();
    private List<Runnable> polled = new ArrayList<>();

    /** Creates a barrier, whose methods are to be called on this thread. */
    public ReadBarrier(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Runs an action once what has arrived by now was handed on. */
    public void run(Runnable action) {
        try {
            if (tick == null) {
                tick = new NextTick(thread);
            }
        } catch (IOException e) {
            Log.warn("read-barrier", "broke", e.getMessage());
            action.run();
            return;
        }
        unpolled.add(action);
        tick.run(this::onTick);
    }

    private void onTick() {
        List<Runnable> ready = polled;
        polled = unpolled;
        unpolled = new ArrayList<>();
        if (!polled.isEmpty()) {
            tick.run(this::onTick);
        }
        ready.forEach(Runnable::run);
        if (polled.isEmpty() && unpolled.isEmpty() && tick != null) {
            tick.close();
            tick = null;
        }
    }
}
