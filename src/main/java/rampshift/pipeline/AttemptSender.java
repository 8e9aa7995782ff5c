package rampshift.pipeline;

import java.util.EnumMap;
import java.util.Map;
import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.workers.AttemptExchange;
import rampshift.workers.AttemptListener;
import rampshift.workers.AttemptRequest;
import rampshift.workers.ConnectionPool;
import rampshift.workers.LoadReport;

/** Sends attempts and health checks to workers, and reports their events to the policy host. */
public final class AttemptSender {
    private static final Map<AttemptOutcome, Counters.Name> OUTCOME_COUNTERS = outcomeCounters();

    private final ConnectionPool pool;
    private final Clock clock;
    private final Counters counters;

    /** Creates a sender that uses the connections of a pool. */
    public AttemptSender(ConnectionPool pool, Clock clock, Counters counters) {
        this.pool = pool;
        this.clock = clock;
        this.counters = counters;
    }

    private static Map<AttemptOutcome, Counters.Name> outcomeCounters() {
        Map<AttemptOutcome, Counters.Name> result = new EnumMap<>(AttemptOutcome.class);
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            result.put(outcome, Counters.Name.valueOf("OUTCOME_" + outcome.name()));
        }
        return result;
    }

    /** Starts the next attempt of a task. */
    void send(PolicyHost host, InFlightTask task, long worker, Span timeout) {
        Moment deadline = task.attemptDeadline();
        int number = task.startAttempt(clock.now());
        counters.add(Counters.Name.ATTEMPTS);
        AttemptEvents events = new AttemptEvents(host, task, number);
        AttemptRequest request = new AttemptRequest(task.transactionId(), task.description().nonIdempotent(),
                deadline, () -> task.message(clock.now()), timeout);
        AttemptExchange attempt = pool.startAttempt(worker, request, events);
        if (!events.ended) {
            task.setAttempt(number, attempt);
        }
    }

    /** Cancels an attempt, if it is still in progress. */
    void cancel(InFlightTask task, int number) {
        AttemptExchange attempt = task.attempt(number);
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Sends a health check to a worker. */
    void checkHealth(PolicyHost host, long worker) {
        counters.add(Counters.Name.HEALTH_CHECKS);
        pool.checkHealth(worker, (checked, answered, load) -> {
            if (answered) {
                counters.add(Counters.Name.HEALTH_CHECKS_ANSWERED);
            }
            host.onHealthCheckResult(checked, answered, load);
        });
    }

    /** Counts the outcome of one attempt, and passes its events to the policy host. */
    private final class AttemptEvents implements AttemptListener {
        private final PolicyHost host;
        private final InFlightTask task;
        private final int number;
        private boolean ended;

        AttemptEvents(PolicyHost host, InFlightTask task, int number) {
            this.host = host;
            this.task = task;
            this.number = number;
        }

        @Override
        public boolean isClientWaiting() {
            return task.request().isClientWaiting();
        }

        @Override
        public void onStarted() {
            host.onAttemptStarted(task, number);
        }

        @Override
        public void onProgress(double share) {
            host.onProgress(task, number, share);
        }

        @Override
        public void onLoadReport(long worker, LoadReport load) {
            host.onLoadReport(worker, load);
        }

        @Override
        public void onOutcome(AttemptOutcome outcome, byte[] result) {
            ended = true;
            task.endAttempt(number, outcome.neverRan);
            counters.add(OUTCOME_COUNTERS.get(outcome));
            host.onAttemptEnded(task, number, outcome, result);
        }
    }
}
