package rampshift.testbed.clients;

import org.HdrHistogram.Histogram;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/** The statistics of one load process for one traffic type. */
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

    /** Records the arrival of a task; returns its earnings if it finishes in time. */
    double onArrival() {
        taskCount++;
        offeredEarnings += type.earnings();
        return type.earnings();
    }

    /**
     * Records the end of an attempt.
     *
     * @param result the result of the attempt
     * @param attemptLatency the time since the attempt was due
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
     * Records a finished task; returns its earnings, which are lower if it is late.
     *
     * @param work the run time of the task on a worker of speed 1
     * @param taskLatency the time since the first attempt was due
     */
    double onTaskFinished(Span work, Span taskLatency) {
        Span allowed = type.due().plus(work.times(type.stretch()));
        boolean inTime = !taskLatency.longerThan(allowed);
        inTimeCount += inTime ? 1 : 0;
        double earned = inTime ? type.earnings() : type.earnings() * type.lateEarnings();
        earnings += earned;
        return earned;
    }

    /** Returns the name of the type. */
    String name() {
        return type.name();
    }

    /** Returns the number of tasks that have arrived. */
    long taskCount() {
        return taskCount;
    }

    /** Returns the number of tasks that have finished in time. */
    long inTimeCount() {
        return inTimeCount;
    }

    /** Returns the earnings of all arrived tasks if all finished in time. */
    double offeredEarnings() {
        return offeredEarnings;
    }

    /** Returns the earnings of the finished tasks. */
    double earnings() {
        return earnings;
    }

    /** Returns the number of attempts that ended with an outcome. */
    long count(ClientOutcome outcome) {
        return outcomeCounts[outcome.ordinal()];
    }

    /** Returns the histogram of times from an attempt's due time to its finish, in microseconds. */
    Histogram latency() {
        return latency;
    }

    /** Returns the same less the time that the worker reported, for attempts where that is known. */
    Histogram addedLatency() {
        return addedLatency;
    }
}
