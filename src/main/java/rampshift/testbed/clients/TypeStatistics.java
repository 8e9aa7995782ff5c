package rampshift.testbed.clients;

import org.HdrHistogram.Histogram;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/** What one load process has measured of one traffic type. */
final class TypeStatistics {
    private final FleetPlan.TrafficType type;
    private final long[] outcomeCounts = new long[ClientOutcome.values().length];
    private final Histogram latency = MicrosHistogram.create();
    private final Histogram addedLatency = MicrosHistogram.create();
    private long taskCount;
    private long inTimeCount;
    private double offeredEarnings;
    private double earnings;

    TypeStatistics(FleetPlan.TrafficType type) {
        this.type = type;
    }

    /** A task has arrived. Returns what it earns if it finishes in time. */
    double onArrival() {
        taskCount++;
        offeredEarnings += type.earnings();
        return type.earnings();
    }

    /**
     * An attempt has ended.
     *
     * @param result what it came to
     * @param attemptLatency from when it was due
     */
    void onAttemptEnded(AttemptResult result, Span attemptLatency) {
        outcomeCounts[result.outcome().ordinal()]++;
        if (result.outcome() == ClientOutcome.FINISHED) {
            MicrosHistogram.record(latency, attemptLatency);
            result.workerTime().ifPresent(
                    workerTime -> MicrosHistogram.record(addedLatency, attemptLatency.minus(workerTime)));
        }
    }

    /**
     * A task has finished. Returns what it earns: less if it is too late.
     *
     * @param work its work on a worker of speed 1
     * @param taskLatency from when its first attempt was due
     */
    double onTaskFinished(Span work, Span taskLatency) {
        Span allowed = type.due().plus(work.times(type.stretch()));
        boolean inTime = !taskLatency.longerThan(allowed);
        inTimeCount += inTime ? 1 : 0;
        double earned = inTime ? type.earnings() : type.earnings() * type.lateEarnings();
        earnings += earned;
        return earned;
    }

    /** The name of the type. */
    String name() {
        return type.name();
    }

    /** How many tasks have arrived. */
    long taskCount() {
        return taskCount;
    }

    /** How many tasks have finished in time. */
    long inTimeCount() {
        return inTimeCount;
    }

    /** What all tasks that have arrived would earn if they finished in time. */
    double offeredEarnings() {
        return offeredEarnings;
    }

    /** What the finished tasks have earned. */
    double earnings() {
        return earnings;
    }

    /** How many attempts have ended so. */
    long count(ClientOutcome outcome) {
        return outcomeCounts[outcome.ordinal()];
    }

    /** From when an attempt was due until it finished, in microseconds. */
    Histogram latency() {
        return latency;
    }

    /** The same less the time that the worker says it took, where that is known. */
    Histogram addedLatency() {
        return addedLatency;
    }
}
