package rampshift.clients;

import org.xnio.XnioIoThread;
import rampshift.counters.Counters;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Closes connections that have exceeded a time limit, at regular intervals: silent ones, ones stalled within
 * a request, rejected ones and idle ones.
 */
final class IdleConnectionReaper {
    private static final Span INTERVAL = Span.ofMillis(50);
    /**
     * Time without input after which the client of a closing connection is assumed to have read its last
     * response.
     */
    private static final Span MAX_QUIET_CLOSING_TIME = Span.ofMillis(500);
    private static final Span MAX_CLOSING_TIME = Span.ofMillis(5000);
    private static final Span MAX_IDLE_TIME_WITHOUT_TASK = Span.ofMillis(1000);
    /** Time within which a request must be completely received. */
    static final Span MAX_REQUEST_TIME = Span.ofMillis(2300);

    private final XnioIoThread thread;
    private final Clock clock;
    private final Counters counters;
    private final Span maxIdleTime;
    private final ConnectionTable table;
    private final ConnectionCloser closer;
    private final RequestRejecter rejecter;
    private IoTimer timer;

    IdleConnectionReaper(XnioIoThread thread, Clock clock, Counters counters, Span maxIdleTime,
            ConnectionTable table,
            ConnectionCloser closer, RequestRejecter rejecter) {
        this.thread = thread;
        this.clock = clock;
        this.counters = counters;
        this.maxIdleTime = maxIdleTime;
        this.table = table;
        this.closer = closer;
        this.rejecter = rejecter;
    }

    /** Runs a task at each interval, until {@link #stop}. */
    void start(Runnable task) {
        timer = IoTimer.schedule(thread, INTERVAL, () -> {
            task.run();
            start(task);
        });
    }

    void stop() {
        timer.cancel();
    }

    /** Closes connections that have exceeded a time limit, as many as the budget of this tick allows. */
    void closeExpired(TickBudget tick) {
        Moment now = clock.now();
        for (ClientConnection connection : table.all()) {
            if (isExpired(connection, now)) {
                if (!tick.tryUse()) {
                    return;
                }
                closeExpired(connection);
            }
        }
    }

    private boolean isExpired(ClientConnection connection, Moment now) {
        if (!connection.channel().isOpen()) {
            return true;
        }
        Span time = connection.phaseLength(now);
        return switch (connection.listedState()) {
            case PEER_CLOSED -> true;
            case BUSY -> false;
            case CLOSING -> time.longerThan(MAX_CLOSING_TIME)
                    || connection.quietTime(now).longerThan(MAX_QUIET_CLOSING_TIME);
            default -> time.longerThan(maxTime(connection));
        };
    }

    private Span maxTime(ClientConnection connection) {
        if (connection.isRequestExpected()) {
            return MAX_REQUEST_TIME;
        }
        return connection.hasSentTask() ? maxIdleTime : MAX_IDLE_TIME_WITHOUT_TASK;
    }

    private void closeExpired(ClientConnection connection) {
        switch (connection.listedState()) {
            case CLOSING -> closeClosing(connection);
            case NEW, RECEIVING -> closeTimedOut(connection);
            default -> {
                if (!connection.channel().isOpen()
                        || connection.listedState() == ConnectionState.PEER_CLOSED) {
                    closer.close(connection);
                } else if (!closer.hasNewInput(connection)) {
                    closer.closeIdle(connection);
                }
            }
        }
    }

    private void closeClosing(ClientConnection connection) {
        boolean received = closer.discardInput(connection);
        if (!received || connection.phaseLength(clock.now()).longerThan(MAX_CLOSING_TIME)) {
            closer.close(connection);
        }
    }

    private void closeTimedOut(ClientConnection connection) {
        if (closer.hasNewInput(connection)) {
            return;
        }
        if (connection.hasStartedRequest()) {
            rejecter.reject(connection, new InvalidRequestException(408,
                    "request incomplete at its time limit"));
        } else {
            counters.add(Counters.Name.CLIENTS_TIMED_OUT);
            closer.close(connection);
        }
    }
}
