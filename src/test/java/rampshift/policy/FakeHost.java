package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A small host of the policy: a clock that tests move, and what was decided, one line a decision. */
final class FakeHost implements Decisions {
    /** The traffic types that a host has at first: idempotent, keyed in a cell, not idempotent. */
    static final int IDEMPOTENT = 0;
    static final int KEYED = 1;
    static final int NON_IDEMPOTENT = 2;

    /** Tests change them before the first input. */
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

    /** Adds a type that may go only to these zones and kinds; null: any. The result is its number. */
    int addType(TrafficType.Effect effect, TrafficType.DeduplicationScope scope, Set<Integer> zones,
            Set<Integer> kinds) {
        settings.types.add(new TrafficType(1, 0, Span.ofMillis(100), 3, Span.ofMillis(5000), effect, scope,
                Span.ofMillis(1000), zones, kinds));
        return settings.types.size() - 1;
    }

    /** Adds a type whose latency objective grows by so many of its running times. Returns its number. */
    int addType(TrafficType.Effect effect, TrafficType.DeduplicationScope scope, double slackFactor) {
        settings.types.add(new TrafficType(1, 0, Span.ofMillis(100), slackFactor, Span.ofMillis(5000), effect,
                scope, Span.ofMillis(1000), null, null));
        return settings.types.size() - 1;
    }

    /** The policy, with its time set. */
    DispatchPolicy policy() {
        Moment now = Moment.ofMillis(clockMs);
        if (policy == null) {
            policy = new DispatchPolicy(settings, now);
        }
        policy.setNow(now);
        return policy;
    }

    /** Workers 1 to this count, all in zone 0, two a cell, warm. */
    FakeHost fleet(int count) {
        int[][] rows = new int[count][];
        for (int i = 0; i < count; i++) {
            rows[i] = new int[]{0, (i + 2) / 2, 0};
        }
        return listWorkers(rows);
    }

    /** Workers 1 to n, warm, each in a zone, cell and of a kind as told by its row. */
    FakeHost listWorkers(int[]... rows) {
        policy().onEndpointListBegin(EndpointListKind.CACHED);
        for (int i = 0; i < rows.length; i++) {
            policy.onEndpoint(new ListedWorker(i + 1, rows[i][0], rows[i][1], rows[i][2], EndpointState.READY,
                    warmStart(), 1));
        }
        policy.onEndpointListEnd();
        return decide();
    }

    /** A change of one worker. */
    FakeHost listWorker(long id, int zone, int cell, int kind, EndpointState state, double startedMs) {
        policy().onEndpointListBegin(EndpointListKind.DELTA);
        policy.onEndpoint(new ListedWorker(id, zone, cell, kind, state, Moment.ofMillis(startedMs), 1));
        policy.onEndpointListEnd();
        return decide();
    }

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

    /** A task whose client waits for so long. */
    long task(int type, int tenant, double remainingMs) {
        return arrive(new TaskRequest(type, tenant, Span.ZERO, 1, 0, Span.ofMillis(remainingMs)));
    }

    /** A task that hints at what it should run. */
    long hintedTask(int type, double hintMs, double remainingMs) {
        return arrive(new TaskRequest(type, 0, Span.ofMillis(hintMs), 1, 0, Span.ofMillis(remainingMs)));
    }

    /** A task that takes so many slots. */
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

    /** A free slot count, as a report in an answer tells it. */
    FakeHost reportFreeSlots(long worker, double slots) {
        policy().onLoadReport(worker, slots, Double.NaN, Double.NaN, Double.NaN);
        return this;
    }

    FakeHost after(double elapsedMs) {
        clockMs += elapsedMs;
        policy().onTimer();
        return decide();
    }

    /** Time passes in which the host reads nothing, and does not come to its timers. */
    FakeHost advanceWithoutTimer(double elapsedMs) {
        clockMs += elapsedMs;
        return this;
    }

    long taskCount() {
        return tasks;
    }

    /** A start time of workers that are warm. */
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

    /** Plays tasks of the type one after the other, each finished after this long where it is. */
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

    /** What the last rejected client was told to wait; null where none was rejected. */
    Span lastRetryAfter() {
        return lastRetryAfter;
    }

    int count(String prefix) {
        return (int) decisions.stream().filter(decision -> (decision + " ").startsWith(prefix)).count();
    }

    /** The worker of an attempt of the task, or -1. */
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
        // Tests move the clock themselves.
    }
}
