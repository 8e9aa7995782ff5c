package rampshift.clients;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.NextTick;
import rampshift.time.Span;

/**
 * Bounds the work between two polls of the sockets, and continues it after the next poll.
 *
 * <p>A burst of idle clients kept the thread at accepting and closing: tasks and responses were not read for
 * over a second, and descriptors that were closed but not released yet exceeded the limit.
 */
final class TickBudget {
    private static final int MAX_OPENED_OR_CLOSED = 16;
    /** How long a connection may wait before it is opened beyond that number. */
    private static final Span MAX_WAIT = Span.ofMillis(20);
    /** How long connections may be opened beyond that number. */
    private static final Span MAX_OVERTIME = Span.ofMillis(5);

    private final Clock clock;
    private final NextTick nextTick;
    private final Runnable continuation;
    /** Connections whose next request has been read already. */
    private final LinkedHashSet<ClientConnection> waitingInput = new LinkedHashSet<>();
    private int openedOrClosed;
    private Moment overtimeSince;

    /**
     * Creates the budget of an I/O thread.
     *
     * @param continuation continues, after a poll, what the budget has stopped
     */
    TickBudget(XnioIoThread thread, Clock clock, Runnable continuation) throws IOException {
        this.clock = clock;
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
     * Returns the same for a connection that has waited since this moment. While tasks keep the thread for
     * long between two polls, 16 at each were so few that connections waited for seconds, and their requests
     * were answered after their deadlines.
     */
    boolean tryUse(Moment waitingSince) {
        return tryUse() || tryUseOvertime(waitingSince);
    }

    private boolean tryUseOvertime(Moment waitingSince) {
        Moment now = clock.now();
        if (!now.since(waitingSince).longerThan(MAX_WAIT)) {
            return false;
        }
        if (overtimeSince == null) {
            overtimeSince = now;
        }
        return !now.since(overtimeSince).longerThan(MAX_OVERTIME);
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
        overtimeSince = null;
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
