package rampshift.testbed.clients;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Connections that each send one task and then stay open and idle. Statistics exclude their tasks, but
 * include the number of these connections that dispatchers close.
 */
final class IdleClientConnections implements ConnectionOwner, ClientAttempt.Listener {
    /** The interval at which connections are opened, so that opening them does not disturb the run. */
    private static final Span OPEN_INTERVAL = Span.ofMillis(10);
    private static final Span TASK_WORK = Span.ofMillis(1);
    private static final int TASK_TYPE = 0;

    private final int count;
    private final AttemptContext context;
    private final LoadStatistics statistics;
    private final List<DispatcherConnection> idle = new ArrayList<>();
    private final CountDownLatch remainingTasks;

    /**
     * Creates an instance without open connections.
     *
     * @param count the number of connections
     * @param context the context of all attempts
     * @param statistics counts the connections that dispatchers close
     */
    IdleClientConnections(int count, AttemptContext context, LoadStatistics statistics) {
        this.count = count;
        this.context = context;
        this.statistics = statistics;
        remainingTasks = new CountDownLatch(count);
    }

    /**
     * Opens the connections one after the other, and waits until all their tasks have ended.
     *
     * @param timeout the longest wait after the last task was started; unfinished tasks then continue
     */
    void open(Span timeout) {
        List<Dispatcher> dispatchers = context.frontProxy().dispatchers();
        for (int i = 0; i < count; i++) {
            Dispatcher dispatcher = dispatchers.get(i % dispatchers.size());
            long delayMillis = Math.round(i * OPEN_INTERVAL.millis());
            context.thread().executeAfter(() -> sendTask(dispatcher), delayMillis, TimeUnit.MILLISECONDS);
        }
        try {
            long timeoutMicros = timeout.micros() + count * OPEN_INTERVAL.micros();
            remainingTasks.await(timeoutMicros, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendTask(Dispatcher dispatcher) {
        Arrival arrival =
                new Arrival(Span.ZERO, dispatcher.site(), TASK_TYPE, TASK_WORK, Arrival.NO_OBJECT);
        ClientTask task = context.taskFactory().create(arrival, EventClock.now());
        new ClientAttempt(task, 0, dispatcher, this, context, this).start();
    }

    /** Returns null, so that each task opens a new connection. */
    @Override
    public DispatcherConnection poll(Dispatcher dispatcher) {
        return null;
    }

    @Override
    public void onExchangeCompleted(DispatcherConnection connection, boolean persistent) {
        idle.add(connection);
    }

    @Override
    public void onClosedByPeer(DispatcherConnection connection) {
        if (idle.remove(connection)) {
            statistics.idleConnectionLost();
        }
    }

    @Override
    public void onClosedByClient(DispatcherConnection connection) {
        idle.remove(connection);
    }

    @Override
    public void onSent(ClientAttempt attempt, Moment now) {
        // Statistics exclude these tasks.
    }

    @Override
    public void onEnded(ClientAttempt attempt, AttemptResult result) {
        remainingTasks.countDown();
    }
}
