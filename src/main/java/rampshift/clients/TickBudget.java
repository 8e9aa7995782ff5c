package rampshift.clients;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.xnio.XnioIoThread;
import rampshift.time.NextTick;

/**
 * Bounds the work between two polls of the sockets, and continues it after the next poll.
 *
 * <p>A burst of idle clients kept the thread at accepting and closing: tasks and responses were not read for
 * over a second, and descriptors that were closed but not released yet exceeded the limit.
 */
final class TickBudget {
    private static final int MAX_OPENED_OR_CLOSED = 16;

    private final NextTick nextTick;
    private final Runnable continuation;
    /** Connections whose next request has been read already. */
    private final LinkedHashSet<ClientConnection> waitingInput = new LinkedHashSet<>();
    private int openedOrClosed;

    /**
     * Creates the budget of an I/O thread.
     *
     * @param continuation continues, after a poll, what the budget has stopped
     */
    TickBudget(XnioIoThread thread, Runnable continuation) throws IOException {
        nextTick = new NextTick(thread);
        this.continuation = continuation;
    }

    /**
     * Returns whether one more connection may be opened or closed now; if not, the continuation runs later.
     */
    boolean tryUse() {
        if (openedOrClosed == MAX_OPENED_OR_CLOSED) {
            return false;
        }
        if (openedOrClosed == 0) {
            nextTick.run(this::onNextTick);
        }
        openedOrClosed++;
        return true;
    }

    /**
     * Has a connection process its waiting input once the other sockets have been polled. XNIO runs what is
     * woken up before it polls, so a client that sent a thousand requests at once had all of them answered
     * first.
     */
    void processInputOnNextTick(ClientConnection connection) {
        waitingInput.add(connection);
        nextTick.run(this::onNextTick);
    }

    void cancelInput(ClientConnection connection) {
        waitingInput.remove(connection);
    }

    private void onNextTick() {
        openedOrClosed = 0;
        List<ClientConnection> ready = new ArrayList<>(waitingInput);
        waitingInput.clear();
        ready.forEach(ClientConnection::processWaitingInput);
        continuation.run();
    }

    /** Releases the descriptors. */
    void close() {
        nextTick.close();
    }
}
