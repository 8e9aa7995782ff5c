package rampshift.testbed.clients;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * What one load process has measured: by traffic type, by second of the run, and of the process itself. It is
 * changed on the I/O thread alone; {@link #progress} may be read on others and then lag behind.
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
     * @param plan the traffic types, and by how much the process itself may be late
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

    /** A task has arrived. */
    void onArrival(Arrival arrival) {
        double offered = types.get(arrival.type()).onArrival();
        second(arrival.at()).onArrival(offered);
    }

    /**
     * An attempt is being sent.
     *
     * @param at when, since the start of the run
     * @param delay since it was due
     */
    void onSent(Span at, Span delay) {
        second(at).onSent();
        MicrosHistogram.record(sendDelay, delay);
    }

    /**
     * An attempt has ended.
     *
     * @param type the index of the traffic type
     * @param result what it came to
     * @param at when, since the start of the run
     * @param latency since it was due
     */
    void onAttemptEnded(int type, AttemptResult result, Span at, Span latency) {
        types.get(type).onAttemptEnded(result, latency);
        second(at).onAttemptEnded(result.outcome());
        if (result.outcome() == ClientOutcome.REJECTED) {
            MicrosHistogram.record(rejectionLatency, latency);
        }
    }

    /**
     * A task has finished.
     *
     * @param arrival its arrival
     * @param at when it finished, since the start of the run
     * @param latency since its first attempt was due
     */
    void onTaskFinished(Arrival arrival, Span at, Span latency) {
        double earned = types.get(arrival.type()).onTaskFinished(arrival.work(), latency);
        second(at).onTaskFinished(earned);
    }

    /** A connection for tasks has been opened. */
    void connectionOpened() {
        openedConnections++;
    }

    /** A dispatcher has closed a connection that was meant to stay idle. */
    void idleConnectionLost() {
        lostIdleConnections++;
    }

    /** The counts so far. */
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

    /** How many attempts have been sent. */
    long sentCount() {
        return sendDelay.getTotalCount();
    }

    /** The share of the attempts that were sent later than the plan allows, 0 to 1. */
    double lateShare() {
        long total = sendDelay.getTotalCount();
        if (total == 0) {
            return 0;
        }
        long onTime = sendDelay.getCountBetweenValues(0, maxSendDelay.micros());
        return (total - onTime) / (double) total;
    }

    /** By traffic type, in the order of the plan. */
    List<TypeStatistics> types() {
        return types;
    }

    /** By second of the run, from its start. */
    List<SecondStatistics> seconds() {
        return seconds;
    }

    /** From when an attempt was due until it was rejected, in microseconds. */
    Histogram rejectionLatency() {
        return rejectionLatency;
    }

    /** From when an attempt was due until it was sent, in microseconds. */
    Histogram sendDelay() {
        return sendDelay;
    }

    /** How many connections have been opened for tasks. */
    long openedConnections() {
        return openedConnections;
    }

    /** How many connections that were meant to stay idle the dispatchers have closed. */
    long lostIdleConnections() {
        return lostIdleConnections;
    }
}
