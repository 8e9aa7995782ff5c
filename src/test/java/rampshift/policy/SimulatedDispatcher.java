package rampshift.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A simulated dispatcher: one instance of the policy, which shares no state with the others. */
final class SimulatedDispatcher implements Decisions {
    private static final double NETWORK_DELAY_MILLIS = 0.5;
    private static final int MAX_ATTEMPTS = 3;
    private static final Span MAX_RETRY_AFTER = Span.ofMillis(2000);
    private static final Span LATENCY_OBJECTIVE = Span.ofMillis(150);
    private static final Span TIMEOUT = Span.ofMillis(3000);
    private static final Span IDEMPOTENCY_WINDOW = Span.ofMillis(1000);
    private static final double LATENCY_SLACK_FACTOR = 3;
    /** Indexes of the traffic types; a random one in four tasks is not idempotent. */
    private static final int IDEMPOTENT = 0;
    private static final int NON_IDEMPOTENT = 1;
    private static final int TASKS_PER_NON_IDEMPOTENT = 4;

    /** An attempt in transit to a worker, in its queue, or running. */
    private static final class SimulatedAttempt {
        private final long task;
        private final int number;
        private final SimulatedWorker worker;
        /** Whether it was cancelled or has finished. */
        private boolean ended;

        SimulatedAttempt(long task, int number, SimulatedWorker worker) {
            this.task = task;
            this.number = number;
            this.worker = worker;
        }
    }

    private final FleetSimulation simulation;
    private final DispatchPolicy policy;
    /** The attempts at each task, in the order of their numbers. */
    private final Map<Long, List<SimulatedAttempt>> attempts = new HashMap<>();
    private long tasks;
    private double wakeAtMillis = Double.MAX_VALUE;

    /** Starts a dispatcher that knows all workers of the simulation. */
    SimulatedDispatcher(FleetSimulation simulation, long seed) {
        this.simulation = simulation;
        policy = new DispatchPolicy(settings(seed), now());
        receiveList(EndpointListKind.CACHED, simulation.workers);
    }

    private static Settings settings(long seed) {
        Settings settings = new Settings();
        settings.seed = seed;
        settings.maxAttempts = MAX_ATTEMPTS;
        settings.mayCancel = true;
        settings.mayHedge = true;
        settings.reportsStart = true;
        settings.retryAfterHints = true;
        settings.maxRetryAfter = MAX_RETRY_AFTER;
        settings.slowStartInitialShare = SimulatedWorker.COLD_SPEED;
        settings.slowStartDuration = Span.ofMillis(SimulatedWorker.WARM_UP_MILLIS);
        settings.slowStartMaxLoadMultiple = SimulatedWorker.MAX_CAPACITY_MULTIPLE;
        settings.types.add(type(TrafficType.Effect.IDEMPOTENT));
        settings.types.add(type(TrafficType.Effect.NON_IDEMPOTENT));
        return settings;
    }

    private static TrafficType type(TrafficType.Effect effect) {
        return new TrafficType(1, 0, LATENCY_OBJECTIVE, LATENCY_SLACK_FACTOR, TIMEOUT, effect,
                TrafficType.DeduplicationScope.ALL, IDEMPOTENCY_WINDOW,
                null, null);
    }

    private Moment now() {
        return Moment.ofMillis(simulation.now());
    }

    /** Passes an endpoint list with these workers to the policy. */
    void receiveList(EndpointListKind kind, List<SimulatedWorker> listed) {
        policy.setNow(now());
        policy.onEndpointListBegin(kind);
        for (SimulatedWorker worker : listed) {
            policy.onEndpoint(new ListedWorker(worker.id, 0, (int) worker.id, 0, EndpointState.READY,
                    Moment.ofMillis(worker.startedAt), SimulatedWorker.SLOTS));
        }
        policy.onEndpointListEnd();
        carryOutDecisions();
    }

    /** Receives a task from a client. */
    void receiveTask() {
        tasks++;
        long id = tasks;
        report(() -> {
            boolean idempotent = simulation.random.nextInt(TASKS_PER_NON_IDEMPOTENT) != 0;
            int type = idempotent ? IDEMPOTENT : NON_IDEMPOTENT;
            policy.onTaskArrived(id, new TaskRequest(type, 0, Span.ZERO, 1, 0, TIMEOUT));
        });
    }

    /** Returns the number of tasks received. */
    long taskCount() {
        return tasks;
    }

    private void report(Runnable input) {
        policy.setNow(now());
        input.run();
        carryOutDecisions();
    }

    private void carryOutDecisions() {
        boolean more = true;
        while (more) {
            more = policy.decideNext(this);
        }
    }

    @Override
    public void forward(long task, long worker, Span timeout) {
        List<SimulatedAttempt> earlier = attempts.computeIfAbsent(task, key -> new ArrayList<>());
        SimulatedAttempt attempt =
                new SimulatedAttempt(task, earlier.size(), simulation.workers.get((int) worker - 1));
        earlier.add(attempt);
        simulation.after(NETWORK_DELAY_MILLIS, () -> attempt.worker.enqueue(() -> start(attempt)));
    }

    private void start(SimulatedAttempt attempt) {
        if (attempt.ended) {
            attempt.worker.release();
            return;
        }
        report(() -> policy.onAttemptStarted(attempt.task, attempt.number));
        double warmRunMillis = simulation.meanRunMillis * (0.5 + simulation.random.nextDouble());
        simulation.after(warmRunMillis / attempt.worker.speed(), () -> finish(attempt));
    }

    private void finish(SimulatedAttempt attempt) {
        SimulatedWorker worker = attempt.worker;
        worker.release();
        worker.startQueued();
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        report(() -> {
            policy.onLoadReport(worker.id, worker.freeSlots(), worker.queued(), worker.running(), Double.NaN);
            policy.onAttemptEnded(attempt.task, attempt.number, AttemptOutcome.FINISHED, true);
        });
    }

    @Override
    public void cancel(long task, int number) {
        attempts.get(task).get(number).ended = true;
        simulation.after(0, () -> report(
                () -> policy.onAttemptEnded(task, number, AttemptOutcome.CALLED_OFF, false)));
    }

    @Override
    public void reject(long task, Span retryAfter) {
        // Clients do not retry: the load stays what the scenario says.
    }

    @Override
    public void fail(long task) {
        // Clients do not retry: the load stays what the scenario says.
    }

    @Override
    public void probe(long worker) {
        throw new IllegalStateException("the settings do not allow probes");
    }

    @Override
    public void subscribe() {
        // The scenario sends endpoint lists without a subscription.
    }

    @Override
    public void wakeAt(Moment when) {
        double millis = when.millis();
        wakeAtMillis = millis;
        simulation.after(Math.max(0, millis - simulation.now()), () -> {
            if (wakeAtMillis == millis) {
                wakeAtMillis = Double.MAX_VALUE;
                report(policy::onTimer);
            }
        });
    }
}
