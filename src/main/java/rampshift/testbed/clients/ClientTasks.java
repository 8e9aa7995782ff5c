package rampshift.testbed.clients;

import java.util.concurrent.CountDownLatch;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Sends the tasks of a run, retries them, and records their arrivals and the ends of their attempts in the
 * statistics. Used on the I/O thread only, except {@link #await}.
 */
final class ClientTasks implements ClientAttempt.Listener {
    private final FleetPlan.Clients settings;
    private final AttemptContext context;
    private final LoadStatistics statistics;
    private final UniformRandomProvider random;
    private final Runnable onTaskEnded;
    private final ClientConnectionPool connections;
    private final CountDownLatch finishedLatch = new CountDownLatch(1);
    private Moment startedAt;
    private int inFlight;
    private boolean arrivalsEnded;

    /**
     * Creates an instance without tasks.
     *
     * @param context the context of all attempts
     * @param statistics records tasks that are due after the warm-up
     * @param random the source of random retry delays
     * @param onTaskEnded called after each task's last attempt
     */
    ClientTasks(AttemptContext context, LoadStatistics statistics, UniformRandomProvider random,
            Runnable onTaskEnded) {
        settings = context.plan().clients();
        this.context = context;
        this.statistics = statistics;
        this.random = random;
        this.onTaskEnded = onTaskEnded;
        connections = new ClientConnectionPool(settings.keep());
    }

    /** Sets the start of the run, before the first arrival. */
    void start(Moment when) {
        startedAt = when;
    }

    /** Creates the task of an arrival and starts its first attempt. */
    void onArrival(Arrival arrival, Moment dueAt) {
        ClientTask task = context.taskFactory().create(arrival, dueAt);
        if (isMeasured(task)) {
            statistics.onArrival(arrival);
        }
        inFlight++;
        startAttempt(task, 0, dueAt);
    }

    /** Marks the end of arrivals. Attempts that end from now on are not retried. */
    void endArrivals() {
        arrivalsEnded = true;
        checkFinished();
    }

    /** Returns whether arrivals have ended. */
    boolean haveArrivalsEnded() {
        return arrivalsEnded;
    }

    /** Returns whether arrivals and all tasks have ended. */
    boolean isFinished() {
        return arrivalsEnded && inFlight == 0;
    }

    /** Blocks until arrivals and all tasks have ended; may be called on any thread. */
    void await() throws InterruptedException {
        finishedLatch.await();
    }

    private void checkFinished() {
        if (isFinished()) {
            finishedLatch.countDown();
        }
    }

    private boolean isMeasured(ClientTask task) {
        return !task.dueAt().before(startedAt.plus(settings.warmUp()));
    }

    private void startAttempt(ClientTask task, int number, Moment now) {
        Dispatcher dispatcher = context.frontProxy().pick(task.arrival().site(), now);
        new ClientAttempt(task, number, dispatcher, connections, context, this).start();
    }

    @Override
    public void onSent(ClientAttempt attempt, Moment now) {
        if (isMeasured(attempt.task())) {
            statistics.onSent(now.since(startedAt), now.since(attempt.dueAt()));
        }
    }

    @Override
    public void onEnded(ClientAttempt attempt, AttemptResult result) {
        if (isMeasured(attempt.task())) {
            recordEnd(attempt, result);
        }
        if (mayRetry(attempt, result)) {
            scheduleRetry(attempt, result);
            return;
        }
        inFlight--;
        onTaskEnded.run();
        checkFinished();
    }

    private void recordEnd(ClientAttempt attempt, AttemptResult result) {
        ClientTask task = attempt.task();
        Moment now = EventClock.now();
        Span at = now.since(startedAt);
        statistics.onAttemptEnded(task.arrival().type(), result, at, now.since(attempt.dueAt()));
        if (result.outcome() == ClientOutcome.FINISHED) {
            statistics.onTaskFinished(task.arrival(), at, now.since(task.dueAt()));
        }
    }

    private boolean mayRetry(ClientAttempt attempt, AttemptResult result) {
        boolean attemptsLeft = attempt.number() < settings.retries();
        return result.retryable() && attemptsLeft && !arrivalsEnded;
    }

    private void scheduleRetry(ClientAttempt attempt, AttemptResult result) {
        Span delay = settings.pause().at(random.nextDouble());
        if (settings.honorsRetryAfter()) {
            delay = delay.orLonger(result.retryAfter());
        }
        IoTimers.runAfter(context.thread(), delay,
                () -> startAttempt(attempt.task(), attempt.number() + 1, EventClock.now()));
    }
}
