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
 * Limits the connections that are opened or closed between two polls of the sockets, and resumes that work
 * after the next poll.
 *
 * <p>Without it, a burst of idle clients keeps the thread accepting and closing connections: tasks and
 * responses are not read for over a second, and descriptors that are closed but not released yet exceed the
 * limit.
 */
final class TickBudget {
    private static final int MAX_OPENED_OR_CLOSED = 16;
    /** How long a connection may wait before it may be opened beyond {@link #MAX_OPENED_OR_CLOSED}. */
    private static final Span MAX_WAIT = Span.ofMillis(20);
    /** How long in one tick connections may be opened beyond {@link #MAX_OPENED_OR_CLOSED}. */
    private static final Span MAX_EXTRA_TIME = Span.ofMillis(5);

    private final Clock clock;
    private final NextTick nextTick;
    private final Runnable continuation;
    /** Connections whose next request has been read already. */
    private final LinkedHashSet<ClientConnection> waitingInput = new LinkedHashSet<>();
    private int openedOrClosed;
    private Moment extraTimeStart;

    /**
     * Creates the budget of an I/O thread.
     *
     * @param continuation resumes the postponed work after the next poll
     */
    TickBudget(XnioIoThread thread, Clock clock, Runnable continuation) throws IOException {
        this.clock = clock;
        nextTick = new NextTick(thread);
        this.continuation = continuation;
    }

    /**
     * Returns whether one more connection may be opened or closed in this tick, and uses up that part of the
     * budget; if not, the work is left to the continuation.
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
     * Returns the same as {@link #tryUse()} for opening a connection, but lets one that has waited for longer
     * than {@link #MAX_WAIT} exceed the budget for a limited time. When tasks keep the thread busy between
     * polls, 16 connections per tick are too few: connections wait for seconds, and requests are answered
     * after their deadlines.
     */
    boolean tryUse(Moment waitingSince) {
        return tryUse() || tryUseExtraTime(waitingSince);
    }

    private boolean tryUseExtraTime(Moment waitingSince) {
        Moment now = clock.now();
        if (!now.since(waitingSince).longerThan(MAX_WAIT)) {
            return false;
        }
        if (extraTimeStart == null) {
            extraTimeStart = now;
        }
        return !now.since(extraTimeStart).longerThan(MAX_EXTRA_TIME);
    }

    /**
     * Makes a connection process its buffered input after the other sockets have been polled. XNIO runs
     * woken-up listeners before it polls; without the delay, a client that sends a thousand requests at once
     * has all of them answered before any other client.
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
        extraTimeStart = null;
        List<ClientConnection> ready = new ArrayList<>(waitingInput);
        waitingInput.clear();
        ready.forEach(ClientConnection::processWaitingInput);
        continuation.run();
    }

    /** Releases the file descriptors. */
    void close() {
        nextTick.close();
    }
}
