package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The state and statistics of one worker as this dispatcher knows them. */
final class Worker {
    final long id;
    int zone;
    int cell;
    int kind;
    KindStatistics kindStatistics;
    /** Whether a constrained traffic type may go to it. */
    boolean servesConstrainedTypes;
    boolean ready;
    /** Whether it was listed as draining, and not as ready since. */
    boolean draining;
    /** Whether the endpoint list called it removed or lacked it, and it was not draining. */
    boolean removed;
    /** When its process started; zero where that is not known. */
    Moment startedAt = new Moment(0);
    /** Attempts in flight, including cancelled ones until their end is observed. */
    final ArrayList<Attempt> attempts = new ArrayList<>();
    /** Expected running times of the last finished attempts at a mean worker, in milliseconds. */
    final SampleWindow expectedRunsMs = new SampleWindow(20);
    /** Measured running times of the same attempts. */
    final SampleWindow actualRunsMs = new SampleWindow(20);
    /**
     * Failure scores of the last outcomes: 0 for a success, 1 for a failure, less where the task may be at
     * fault.
     */
    final SampleWindow failureScores = new SampleWindow(8);
    /** Slots taken or queued for by other dispatchers, by the last reports. */
    final DecayingSamples otherDispatchersSlots = new DecayingSamples(8);
    Moment loadReportedAt;
    /** For the last attempts sent on a report of an idle slot: 1 if it found one, else 0. */
    final DecayingSamples idleReportAccuracy = new DecayingSamples(4);
    /** Total number of slots, by the last reports; free slots where reports lack the running ones. */
    final SampleWindow capacities = new SampleWindow(12);
    /** Delays from send to start of the last attempts, in milliseconds. */
    final DecayingSamples startDelaysMs = new DecayingSamples(8);
    /** Free memory by the last report; NaN where none was reported. */
    double freeMemory = Double.NaN;
    /** Whether one of its reports held both free and running slots. */
    boolean capacityReported;
    /** Whether a load report came since its process started. */
    boolean hasReported;
    /** When it last rejected an attempt as full. */
    Moment rejectedAsFullAt;
    /** Whether the last probe was not answered in time, and nothing was heard since. */
    boolean probeUnanswered;
    /** When it was last heard from; null where it was not. */
    Moment lastContact;
    Moment probedAt;
    /**
     * Limit of concurrent attempts on the recovery ramp after an ejection; 0 if the worker is not ejected.
     */
    int recoveryLimit;
    /** When its ejection ends and the recovery ramp begins. */
    Moment recoveryStartsAt;
    /** By traffic type, when an attempt was last lost before its start; removed once one finishes. */
    final Map<Integer, Moment> typesLostAt = new HashMap<>();
    /** Since when each of its idle connections is idle, the latest last. */
    final ArrayDeque<Moment> idleConnections = new ArrayDeque<>();
    /** Tasks that wait for its answer to a probe. */
    final ArrayList<Task> awaitingProbe = new ArrayList<>();

    Worker(long id) {
        this.id = id;
    }

    /** Drops the statistics of its former process after a restart. */
    void resetStatistics() {
        expectedRunsMs.clear();
        actualRunsMs.clear();
        failureScores.clear();
        otherDispatchersSlots.clear();
        startDelaysMs.clear();
        typesLostAt.clear();
        recoveryLimit = 0;
        hasReported = false;
        lastContact = null;
    }

    /** Records a load report, in slots and units of memory; values that it lacks are NaN. */
    void onLoadReport(double free, double running, double memory) {
        hasReported = true;
        freeMemory = memory;
        capacityReported |= !Double.isNaN(free) && !Double.isNaN(running);
        if (capacityReported ? free > 0.5 : !Double.isNaN(free)) {
            double capacity = capacityReported ? free + running : free;
            capacities.put(capacity);
            kindStatistics.capacities.put(capacity);
        }
    }

    /**
     * Records the running time of a finished attempt.
     *
     * @param warm whether the worker was warm, so that the run counts for its kind, too
     */
    void recordRun(double expectedMs, double ranMs, boolean warm) {
        expectedRunsMs.put(expectedMs);
        actualRunsMs.put(ranMs);
        if (warm) {
            kindStatistics.expectedRunsMs.put(expectedMs);
            kindStatistics.actualRunsMs.put(ranMs);
        }
    }

    void recordOtherDispatchersSlots(Moment now, double slots) {
        loadReportedAt = now;
        otherDispatchersSlots.put(now, slots);
    }

    /** Records that the worker was heard from. */
    void onContact(Moment now) {
        lastContact = now;
        probeUnanswered = false;
    }

    /** Drops the connections that were idle for the timeout; returns whether an idle one is left. */
    boolean hasIdleConnection(Moment now, Span idleTimeout) {
        while (!idleConnections.isEmpty() && !idleTimeout.longerThan(now.since(idleConnections.peek()))) {
            idleConnections.poll();
        }
        return !idleConnections.isEmpty();
    }

    boolean wasHeardFrom() {
        return hasReported || lastContact != null;
    }

    /** Returns whether each of the two workers drops repeats of tasks that the other has received. */
    boolean sharesDeduplicationScope(Worker other, TrafficType.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone == other.zone;
            case CELL -> cell == other.cell;
        };
    }

    /** Returns the greatest listed weight of its kind; 1 where none is listed. */
    double kindWeight() {
        return kindStatistics.maxListedWeight > 0 ? kindStatistics.maxListedWeight : 1;
    }

    /** Returns the slots that this dispatcher's attempts run in or queue for. */
    double ownSlots() {
        double sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.countsAsLoad() ? attempt.task.slots : 0;
        }
        return sum;
    }

    /** Returns the slots that this dispatcher's started attempts run in. */
    double startedSlots() {
        double sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.startedAt != null && attempt.countsAsLoad() ? attempt.task.slots : 0;
        }
        return sum;
    }
}
