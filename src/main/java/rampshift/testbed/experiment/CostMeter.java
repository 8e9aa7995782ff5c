package rampshift.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Measures the CPU time and memory of dispatchers under load, also across restarts after a kill. */
final class CostMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<ChildProcess> dispatchers;
    private final Duration[] cpuOfKilled;
    private List<Duration> cpuAtStart = List.of();
    private HostMetrics hostAtStart;

    /**
     * Creates a meter that has not started measuring.
     *
     * @param dispatchers their current processes; the caller replaces the element of a restarted dispatcher
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

    /** Adds the CPU time of a process that is about to be killed. */
    void addKilled(int dispatcher) {
        // The CPU time before the start of the measurement is not subtracted here, but once by read().
        cpuOfKilled[dispatcher] = cpuOfKilled[dispatcher].plus(dispatchers.get(dispatcher).cpuTime());
    }

    /** Returns the resources used since {@link #start}. */
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
