package rampshift.testbed.clients;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * The statistics of one load process: by traffic type, by second of the run, and of the process itself. They
 * change on the I/O thread only; {@link #progress} may be called on other threads, and then lags behind.
 */
final class LoadStatistics {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Span maxSendDelay;
    private final List<TypeStatistics> types;
    private final List<SecondStatistics> seconds = new ArrayList<>();
    private final Histogram rejectionLatency = MicrosHistogram.create();
    private final Histogram sendDelay = MicrosHistogram.create();
    private long openedConnections;
    private long lostIdleConnections;

    /**
     * Creates empty statistics.
     *
     * @param plan the plan with the traffic types and the allowed send delay
     */
    LoadStatistics(FleetPlan plan) {
        maxSendDelay = plan.clients().maxSendDelay();
        types = plan.types().stream().map(TypeStatistics::new).toList();
    }

    private SecondStatistics second(Span at) {
        int index = (int) Math.max(0, at.micros() / MICROS_PER_SECOND);
        while (seconds.size() <= index) {
            seconds.add(new SecondStatistics());
        }
        return seconds.get(index);
    }

    /** Records the arrival of a task. */
    void onArrival(Arrival arrival) {
        double offered = types.get(arrival.type()).onArrival();
        second(arrival.at()).onArrival(offered);
    }

    /**
     * Records that an attempt is sent.
     *
     * @param at the time since the start of the run
     * @param delay the time since the attempt was due
     */
    void onSent(Span at, Span delay) {
        second(at).onSent();
        MicrosHistogram.record(sendDelay, delay);
    }

    /**
     * Records the end of an attempt.
     *
     * @param type the index of the traffic type
     * @param result the result of the attempt
     * @param at the time since the start of the run
     * @param latency the time since the attempt was due
     */
    void onAttemptEnded(int type, AttemptResult result, Span at, Span latency) {
        types.get(type).onAttemptEnded(result, latency);
        second(at).onAttemptEnded(result.outcome());
        if (result.outcome() == ClientOutcome.REJECTED) {
            MicrosHistogram.record(rejectionLatency, latency);
        }
    }

    /**
     * Records a finished task.
     *
     * @param arrival the arrival of the task
     * @param at the time since the start of the run
     * @param latency the time since the first attempt was due
     */
    void onTaskFinished(Arrival arrival, Span at, Span latency) {
        double earned = types.get(arrival.type()).onTaskFinished(arrival.work(), latency);
        second(at).onTaskFinished(earned);
    }

    /** Counts a connection that was opened for tasks, including those that stay idle after one task. */
    void connectionOpened() {
        openedConnections++;
    }

    /** Counts an idle connection that a dispatcher has closed. */
    void idleConnectionLost() {
        lostIdleConnections++;
    }

    /** Returns the counts so far. */
    LoadProgress progress() {
        long failed = count(ClientOutcome.SERVER_ERROR) + count(ClientOutcome.CONNECTION_LOST)
                + count(ClientOutcome.UNREACHABLE) + count(ClientOutcome.TIMED_OUT);
        return new LoadProgress(sentCount(), count(ClientOutcome.FINISHED), count(ClientOutcome.REJECTED),
                failed, earnedShare(), lateShare());
    }

    private long count(ClientOutcome outcome) {
        return types.stream().mapToLong(type -> type.count(outcome)).sum();
    }

    private double earnedShare() {
        double offered = 0;
        double earned = 0;
        for (TypeStatistics type : types) {
            offered += type.offeredEarnings();
            earned += type.earnings();
        }
        return offered == 0 ? 1 : earned / offered;
    }

    /** Returns the number of attempts that have been sent. */
    long sentCount() {
        return sendDelay.getTotalCount();
    }

    /** Returns the share of the attempts that were sent later than the plan allows, 0 to 1. */
    double lateShare() {
        long total = sendDelay.getTotalCount();
        if (total == 0) {
            return 0;
        }
        long onTime = sendDelay.getCountBetweenValues(0, maxSendDelay.micros());
        return (total - onTime) / (double) total;
    }

    /** Returns the statistics by traffic type, in the order of the plan. */
    List<TypeStatistics> types() {
        return types;
    }

    /** Returns the statistics by second of the run, from its start. */
    List<SecondStatistics> seconds() {
        return seconds;
    }

    /** Returns the histogram of times from an attempt's due time to its rejection, in microseconds. */
    Histogram rejectionLatency() {
        return rejectionLatency;
    }

    /** Returns the histogram of times from an attempt's due time to its sending, in microseconds. */
    Histogram sendDelay() {
        return sendDelay;
    }

    /** Returns the number of connections that were opened for tasks. */
    long openedConnections() {
        return openedConnections;
    }

    /** Returns the number of idle connections that dispatchers have closed. */
    long lostIdleConnections() {
        return lostIdleConnections;
    }
}
