package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A host of the policy for tests: a clock that tests advance, and a record of the decisions, one line each.
 */
final class FakeHost implements Decisions {
    /** Indexes of the default traffic types; the last one, at index 3, is keyed over all workers. */
    static final int IDEMPOTENT = 0;
    static final int KEYED = 1;
    static final int NON_IDEMPOTENT = 2;

    /** Tests change the settings before the first event. */
    final Settings settings = new Settings();
    final List<String> decisions = new ArrayList<>();
    private Span lastRetryAfter;
    private DispatchPolicy policy;
    private long tasks;
    private double clockMs = 1_000_000;

    FakeHost() {
        settings.seed = 7;
        settings.maxAttempts = 5;
        settings.mayCancel = true;
        settings.mayHedge = true;
        settings.reportsStart = true;
        settings.retryAfterHints = true;
        settings.maxRetryAfter = Span.ofMillis(2000);
        addType(TrafficType.Effect.IDEMPOTENT, TrafficType.DeduplicationScope.ALL, null, null);
        addType(TrafficType.Effect.KEYED, TrafficType.DeduplicationScope.CELL, null, null);
        addType(TrafficType.Effect.NON_IDEMPOTENT, TrafficType.DeduplicationScope.ALL, null, null);
        addType(TrafficType.Effect.KEYED, TrafficType.DeduplicationScope.ALL, null, null);
    }

    /** Adds a type that may go only to these zones and kinds, null for any; returns its index. */
    int addType(TrafficType.Effect effect, TrafficType.DeduplicationScope scope, Set<Integer> zones,
            Set<Integer> kinds) {
        settings.types.add(new TrafficType(1, 0, Span.ofMillis(100), 3, Span.ofMillis(5000), effect, scope,
                Span.ofMillis(1000), zones, kinds));
        return settings.types.size() - 1;
    }

    /** Adds a type with this latency slack factor; returns its index. */
    int addType(TrafficType.Effect effect, TrafficType.DeduplicationScope scope, double slackFactor) {
        settings.types.add(new TrafficType(1, 0, Span.ofMillis(100), slackFactor, Span.ofMillis(5000), effect,
                scope, Span.ofMillis(1000), null, null));
        return settings.types.size() - 1;
    }

    /** Returns the policy, with its time set. */
    DispatchPolicy policy() {
        Moment now = Moment.ofMillis(clockMs);
        if (policy == null) {
            policy = new DispatchPolicy(settings, now);
        }
        policy.setNow(now);
        return policy;
    }

    /** Lists warm workers 1 to this count, all in zone 0 and two in each cell. */
    FakeHost fleet(int count) {
        int[][] rows = new int[count][];
        for (int i = 0; i < count; i++) {
            rows[i] = new int[]{0, (i + 2) / 2, 0};
        }
        return listWorkers(rows);
    }

    /** Lists warm workers from 1; each row holds the zone, the cell and the kind of one of them. */
    FakeHost listWorkers(int[]... rows) {
        policy().onEndpointListBegin(EndpointListKind.CACHED);
        for (int i = 0; i < rows.length; i++) {
            policy.onEndpoint(new ListedWorker(i + 1, rows[i][0], rows[i][1], rows[i][2], EndpointState.READY,
                    warmStart(), 1));
        }
        policy.onEndpointListEnd();
        return decide();
    }

    /** Sends an endpoint list with the change of one worker. */
    FakeHost listWorker(long id, int zone, int cell, int kind, EndpointState state, double startedMs) {
        policy().onEndpointListBegin(EndpointListKind.DELTA);
        policy.onEndpoint(new ListedWorker(id, zone, cell, kind, state, Moment.ofMillis(startedMs), 1));
        policy.onEndpointListEnd();
        return decide();
    }

    /** Changes the state of a worker of {@link #fleet} to ready or draining. */
    FakeHost relist(long id, boolean ready, double startedMs) {
        return relist(id, ready ? EndpointState.READY : EndpointState.DRAINING, startedMs);
    }

    FakeHost relist(long id, EndpointState state, double startedMs) {
        return listWorker(id, 0, (int) (id + 1) / 2, 0, state, startedMs);
    }

    long task(int type) {
        return task(type, 0);
    }

    long task(int type, int tenant) {
        return task(type, tenant, 5000);
    }

    /** Submits a task whose client waits for this time; returns its id. */
    long task(int type, int tenant, double remainingMs) {
        return arrive(new TaskRequest(type, tenant, Span.ZERO, 1, 0, Span.ofMillis(remainingMs)));
    }

    /** Submits a task with a hint of its running time; returns its id. */
    long hintedTask(int type, double hintMs, double remainingMs) {
        return arrive(new TaskRequest(type, 0, Span.ofMillis(hintMs), 1, 0, Span.ofMillis(remainingMs)));
    }

    /** Submits a task that takes this many slots; returns its id. */
    long wideTask(int type, double slots) {
        return arrive(new TaskRequest(type, 0, Span.ZERO, slots, 0, Span.ofMillis(5000)));
    }

    private long arrive(TaskRequest request) {
        policy().onTaskArrived(++tasks, request);
        decide();
        return tasks;
    }

    FakeHost started(long task, int number) {
        policy().onAttemptStarted(task, number);
        return decide();
    }

    FakeHost finished(long task, int number, AttemptOutcome outcome) {
        policy().onAttemptEnded(task, number, outcome, outcome == AttemptOutcome.FINISHED);
        return decide();
    }

    /** Reports free slots alone, as in a load report with an answer. */
    FakeHost reportFreeSlots(long worker, double slots) {
        policy().onLoadReport(worker, slots, Double.NaN, Double.NaN, Double.NaN);
        return this;
    }

    /** Advances the clock and fires the timers that are due. */
    FakeHost after(double elapsedMs) {
        clockMs += elapsedMs;
        policy().onTimer();
        return decide();
    }

    /** Advances the clock without firing timers, as while the host is delayed. */
    FakeHost advanceWithoutTimer(double elapsedMs) {
        clockMs += elapsedMs;
        return this;
    }

    long taskCount() {
        return tasks;
    }

    /** Returns a start time of workers that are warm. */
    Moment warmStart() {
        return new Moment(0);
    }

    double now() {
        return clockMs;
    }

    FakeHost decide() {
        boolean more = true;
        while (more) {
            more = policy().decideNext(this);
        }
        return this;
    }

    /**
     * Runs tasks of the type one after another; the first attempt at each finishes after the running time.
     */
    FakeHost runTasks(int type, int count, double runMs) {
        for (int i = 0; i < count; i++) {
            long id = task(type);
            started(id, 0);
            after(runMs);
            finished(id, 0, AttemptOutcome.FINISHED);
            int hedges = count("forward " + id + " ") - 1;
            for (int n = 1; n <= hedges; n++) {
                finished(id, n, AttemptOutcome.CALLED_OFF);
            }
        }
        return this;
    }

    /** Returns the Retry-After hint of the last rejection; null where there was none. */
    Span lastRetryAfter() {
        return lastRetryAfter;
    }

    /** Returns the number of decisions with the prefix. */
    int count(String prefix) {
        return (int) decisions.stream().filter(decision -> (decision + " ").startsWith(prefix)).count();
    }

    /** Returns the worker of an attempt at the task, or -1. */
    long worker(long task, int number) {
        List<String> sent =
                decisions.stream().filter(decision -> decision.startsWith("forward " + task + " ")).toList();
        return number < sent.size() ? Long.parseLong(sent.get(number).split(" ")[2]) : -1;
    }

    @Override
    public void forward(long task, long worker, Span timeout) {
        decisions.add("forward " + task + " " + worker);
    }

    @Override
    public void cancel(long task, int attempt) {
        decisions.add("cancel " + task + " " + attempt);
    }

    @Override
    public void reject(long task, Span retryAfter) {
        lastRetryAfter = retryAfter;
        decisions.add("reject " + task + " " + (retryAfter.micros() > 0 ? "later" : "now"));
    }

    @Override
    public void fail(long task) {
        decisions.add("fail " + task);
    }

    @Override
    public void probe(long worker) {
        decisions.add("probe " + worker);
    }

    @Override
    public void subscribe() {
        decisions.add("subscribe");
    }

    @Override
    public void wakeAt(Moment when) {
        // Tests advance the clock themselves.
    }
}
