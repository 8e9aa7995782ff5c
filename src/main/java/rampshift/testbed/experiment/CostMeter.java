package rampshift.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Measures what dispatchers use under load, also if their processes are replaced. */
final class CostMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<ChildProcess> dispatchers;
    private final Duration[] cpuOfKilled;
    private List<Duration> cpuAtStart = List.of();
    private HostMetrics hostAtStart;

    /**
     * Creates a meter that does not measure yet.
     *
     * @param dispatchers their present processes; the caller replaces elements when it restarts one
     */
    CostMeter(List<ChildProcess> dispatchers) {
        this.dispatchers = dispatchers;
        cpuOfKilled = new Duration[dispatchers.size()];
        Arrays.fill(cpuOfKilled, Duration.ZERO);
    }

    /** Begins to measure; later calls do nothing. */
    void start() {
        if (hostAtStart == null) {
            cpuAtStart = dispatchers.stream().map(ChildProcess::cpuTime).toList();
            hostAtStart = HostMetrics.read();
        }
    }

    /** Adds what a process has used that is about to be killed. */
    void addKilled(int dispatcher) {
        // What it used before the start is subtracted once, from the process that is there at the end.
        cpuOfKilled[dispatcher] = cpuOfKilled[dispatcher].plus(dispatchers.get(dispatcher).cpuTime());
    }

    /** What was used since the start. */
    RunCosts read() {
        List<Double> cpuSeconds = new ArrayList<>();
        List<Long> residentKb = new ArrayList<>();
        for (int dispatcher = 0; dispatcher < dispatchers.size(); dispatcher++) {
            ChildProcess process = dispatchers.get(dispatcher);
            Duration usedBefore = hostAtStart == null ? Duration.ZERO : cpuAtStart.get(dispatcher);
            Duration used = process.cpuTime().plus(cpuOfKilled[dispatcher]).minus(usedBefore);
            cpuSeconds.add(used.toNanos() / NANOS_PER_SECOND);
            residentKb.add(process.residentKb());
        }
        double stolenShare = hostAtStart == null ? 0 : HostMetrics.read().stolenShareSince(hostAtStart);
        return new RunCosts(cpuSeconds, residentKb, stolenShare);
    }
}
