package rampshift.policy;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Measures the time of one decision by the size of the fleet. The clock is simulated: a task arrives each
 * millisecond, forty are in flight, and each ends after 40 ms, so that only the policy is measured. The JIT
 * is that of production: the first compiler only.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m"})
public class DecisionBench implements Decisions {
    private static final int MAX_IN_FLIGHT = 40;
    private static final int SLOTS = 64;

    @Param({"10", "100", "1000", "10000"})
    public int workers;

    private record SentAttempt(long task, long worker) {}

    private final ArrayDeque<SentAttempt> inFlight = new ArrayDeque<>();
    private DispatchPolicy policy;
    private Moment now = Moment.ofMillis(1_000_000);
    private Moment wake;
    private long tasks;
    private long sequence;

    @Setup
    public void setUp() {
        Settings settings = new Settings();
        settings.seed = 7;
        settings.maxAttempts = 5;
        settings.mayCancel = true;
        settings.mayHedge = true;
        settings.reportsStart = true;
        settings.mayProbe = false;
        settings.types.add(new TrafficType(1, 0, Span.ofMillis(200), 3, Span.ofMillis(5000),
                TrafficType.Effect.IDEMPOTENT,
                TrafficType.DeduplicationScope.ALL, Span.ofMillis(5000), null, null));
        policy = new DispatchPolicy(settings, now);
        policy.setNow(now);
        policy.onEndpointListBegin(EndpointListKind.CACHED);
        for (int id = 1; id <= workers; id++) {
            policy.onEndpoint(
                    new ListedWorker(id, 0, (id + 1) / 2, 0, EndpointState.READY, new Moment(0), SLOTS));
        }
        policy.onEndpointListEnd();
        runDecisions();
        for (int i = 0; i < 2000; i++) {
            task();
        }
    }

    private void runDecisions() {
        while (policy.decideNext(this)) {
            continue;
        }
    }

    private void advanceClock() {
        now = now.plus(Span.ofMillis(1));
        policy.setNow(now);
        if (wake != null && !now.before(wake)) {
            wake = null;
            policy.onTimer();
            runDecisions();
        }
    }

    /** Decides one task from its arrival to its end, with the timers that are due meanwhile. */
    @Benchmark
    public void task() {
        advanceClock();
        policy.onTaskArrived(++tasks, new TaskRequest(0, 0, Span.ZERO, 1, 0, Span.ofMillis(5000)));
        runDecisions();
        while (inFlight.size() > MAX_IN_FLIGHT) {
            SentAttempt attempt = inFlight.poll();
            policy.onAttemptStarted(attempt.task(), 0);
            runDecisions();
            policy.onLoadReport(attempt.worker(), SLOTS - 1, 0, Double.NaN, Double.NaN);
            policy.onAttemptEnded(attempt.task(), 0, AttemptOutcome.FINISHED, true);
            runDecisions();
        }
    }

    /** Handles one load report. */
    @Benchmark
    public void report() {
        policy.setNow(now);
        policy.onLoadReport(1 + sequence++ % workers, SLOTS - sequence % 3, 0, Double.NaN, Double.NaN);
        runDecisions();
    }

    /** Handles a change of the endpoint list: one worker drains, or is ready again. */
    @Benchmark
    public void change() {
        long worker = 1 + sequence / 2 % workers;
        policy.setNow(now);
        policy.onEndpointListBegin(EndpointListKind.DELTA);
        policy.onEndpoint(new ListedWorker(worker, 0, (int) (worker + 1) / 2, 0,
                sequence++ % 2 == 1 ? EndpointState.READY : EndpointState.DRAINING, new Moment(0),
                SLOTS));
        policy.onEndpointListEnd();
        runDecisions();
    }

    /** Handles a full endpoint list without changes. */
    @Benchmark
    public void whole() {
        policy.setNow(now);
        policy.onEndpointListBegin(EndpointListKind.FULL);
        for (int id = 1; id <= workers; id++) {
            policy.onEndpoint(
                    new ListedWorker(id, 0, (id + 1) / 2, 0, EndpointState.READY, new Moment(0), SLOTS));
        }
        policy.onEndpointListEnd();
        runDecisions();
    }

    // ---- decisions

    @Override
    public void forward(long task, long worker, Span timeout) {
        inFlight.add(new SentAttempt(task, worker));
    }

    @Override
    public void cancel(long task, int attempt) {
        policy.onAttemptEnded(task, attempt, AttemptOutcome.CALLED_OFF, true);
    }

    @Override
    public void reject(long task, Span retryAfter) {
        throw new IllegalStateException("no task may be rejected here");
    }

    @Override
    public void fail(long task) {
        throw new IllegalStateException("no task may fail here");
    }

    @Override
    public void probe(long worker) {
        throw new IllegalStateException("probes are not allowed here");
    }

    @Override
    public void subscribe() {
        // There is no discovery service.
    }

    @Override
    public void wakeAt(Moment when) {
        wake = when;
    }
}
