package rampshift.testbed.clients;

import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.Message;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One attempt of a client at a task, on a given dispatcher: it ends with a response, a failure, or the end of
 * the wait for a response. Used on the I/O thread only.
 */
final class ClientAttempt implements DispatcherConnection.ExchangeListener {
    /** The wait after the client's timeout that distinguishes a late response from a missing one. */
    private static final Span LATE_RESPONSE_WAIT = Span.ofMillis(400);

    /** Receives the events of an attempt. */
    interface Listener {
        /** Called before the request is first sent; not called if no connection could be opened. */
        void onSent(ClientAttempt attempt, Moment now);

        /** Called once, at the end of the attempt. */
        void onEnded(ClientAttempt attempt, AttemptResult result);
    }

    private final ClientTask task;
    private final int number;
    private final Dispatcher dispatcher;
    private final ConnectionOwner connections;
    private final AttemptContext context;
    private final Listener listener;
    private final Moment dueAt;
    private final ClientTaskRequest request;
    private final String id;
    private DispatcherConnection connection;
    private IoTimer timer;
    private boolean sent;
    private boolean resent;
    private boolean timedOut;
    private boolean ended;

    /**
     * Creates an attempt, which does nothing before {@link #start}.
     *
     * @param task the task
     * @param number 0 for the first attempt, which is due when the task is; a retry is due now
     * @param dispatcher the dispatcher to which the task is sent
     * @param connections the owner of open connections
     * @param context the context of all attempts
     * @param listener receives the events of the attempt
     */
    ClientAttempt(ClientTask task, int number, Dispatcher dispatcher, ConnectionOwner connections,
            AttemptContext context, Listener listener) {
        this.task = task;
        this.number = number;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.context = context;
        this.listener = listener;
        dueAt = number == 0 ? task.dueAt() : EventClock.now();
        id = context.taskFactory().newAttemptId();
        Span timeout = task.type().expiry().times(context.plan().clients().patience());
        request = new ClientTaskRequest(task, id, number, timeout);
    }

    ClientTask task() {
        return task;
    }

    /** Returns 0 for the first attempt, and above 0 for retries. */
    int number() {
        return number;
    }

    /** Returns when the attempt was due; its latency is measured from then. */
    Moment dueAt() {
        return dueAt;
    }

    /** Sends the task on an idle connection, or on a new one if there is none. */
    void start() {
        DispatcherConnection open = connections.poll(dispatcher);
        if (open == null) {
            sendOnNewConnection(this::onUnreachable);
        } else {
            send(open);
        }
    }

    private void sendOnNewConnection(Runnable onUnreachable) {
        context.connector().open(dispatcher, connections, this::onConnected, onUnreachable);
    }

    private void onConnected(DispatcherConnection opened) {
        if (ended) {
            opened.close();
        } else {
            send(opened);
        }
    }

    private void onUnreachable() {
        context.frontProxy().onFailure(dispatcher, EventClock.now());
        context.eventLog().onUnreachable(id, dispatcher);
        end(AttemptResult.ofFailure(ClientOutcome.UNREACHABLE, true));
    }

    private void send(DispatcherConnection open) {
        connection = open;
        if (!sent) {
            sent = true;
            Moment now = EventClock.now();
            listener.onSent(this, now);
            timer = IoTimer.notBefore(context.thread(), request.timeout(), this::onTimeout);
            context.eventLog().onSent(now, request, dispatcher);
        }
        connection.exchange(request, this);
    }

    @Override
    public void onResponse(Message response) {
        if (ended) {
            return;
        }
        context.eventLog().onResponse(EventClock.now(), id, response);
        if (timedOut) {
            end(AttemptResult.ofFailure(ClientOutcome.TIMED_OUT, false));
        } else {
            end(AttemptResult.ofResponse(response, task.isRepeatable()));
        }
    }

    @Override
    public void onFailure(ConnectionFailure failure, boolean maybeStale) {
        if (ended) {
            return;
        }
        if (maybeStale && !resent && !timedOut) {
            resent = true;
            context.eventLog().onStaleConnection(EventClock.now(), id, failure);
            sendOnNewConnection(() -> onConnectionLost(ConnectionFailure.UNREACHABLE));
        } else {
            onConnectionLost(failure);
        }
    }

    private void onConnectionLost(ConnectionFailure failure) {
        Moment now = EventClock.now();
        context.frontProxy().onFailure(dispatcher, now);
        context.eventLog().onConnectionLost(now, id, failure);
        end(AttemptResult.ofFailure(ClientOutcome.CONNECTION_LOST, task.isRepeatable()));
    }

    private void onTimeout() {
        timedOut = true;
        timer = IoTimer.notBefore(context.thread(), LATE_RESPONSE_WAIT, this::onLateResponseTimeout);
    }

    private void onLateResponseTimeout() {
        context.eventLog().onTimeout(id);
        end(AttemptResult.ofFailure(ClientOutcome.TIMED_OUT, task.isRepeatable()));
        connection.close();
    }

    private void end(AttemptResult result) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        listener.onEnded(this, result);
    }
}
