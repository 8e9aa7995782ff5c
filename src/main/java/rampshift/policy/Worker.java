package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What this dispatcher knows of one worker. */
final class Worker {
    final long id;
    int zone;
    int cell;
    int kind;
    KindStatistics kindStatistics;
    /** A traffic type that may not go everywhere may go here. */
    boolean servesConstrainedTypes;
    boolean ready;
    /** Listed as draining, and not as ready since. */
    boolean draining;
    /** Called removed by the last list that named it, or left out of a whole one, without having drained. */
    boolean removed;
    Moment startedAt = new Moment(0);
    /** Attempts still in flight, those cancelled included until their end is observed. */
    final ArrayList<Attempt> attempts = new ArrayList<>();
    /** Of the last finished attempts: what a middling worker would have run, and what they ran, in ms. */
    final SampleWindow expectedRunsMs = new SampleWindow(20);
    final SampleWindow actualRunsMs = new SampleWindow(20);
    /** 1 for each of the last outcomes that was bad. */
    final SampleWindow failureScores = new SampleWindow(8);
    /** Slots that other dispatchers held, by the last reports. */
    final DecayingSamples otherDispatchersSlots = new DecayingSamples(8);
    Moment loadReportedAt;
    /** 1 for each of the last attempts that its reports promised an idle slot, and that had one. */
    final DecayingSamples idleReportAccuracy = new DecayingSamples(4);
    /** Slots in all, by the last reports. */
    final SampleWindow capacities = new SampleWindow(12);
    /** From send to start of the last attempts, in milliseconds. */
    final DecayingSamples startDelaysMs = new DecayingSamples(8);
    double freeMemory = Double.NaN;
    /** Reports tell both free and taken slots. */
    boolean capacityReported;
    boolean hasReported;
    /** When it last rejected an attempt as full. */
    Moment rejectedAsFullAt;
    boolean probeUnanswered;
    Moment lastContact;
    Moment probedAt;
    /** 0: not ejected; else how many attempts at once it is trusted with, from a moment on. */
    int recoveryLimit;
    Moment recoveryStartsAt;
    /** By traffic type, when it last left a task unstarted for good, if it has finished none since. */
    final Map<Integer, Moment> typesLostAt = new HashMap<>();
    /** Since when each of the connections to it that are idle has been so, the latest last. */
    final ArrayDeque<Moment> idleConnections = new ArrayDeque<>();
    /** Tasks that wait for its answer to a probe. */
    final ArrayList<Task> awaitingProbe = new ArrayList<>();

    Worker(long id) {
        this.id = id;
    }

    /** It restarted: what was learnt of its former process no longer holds. */
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

    /** A load report came, in slots and units of memory; what it does not tell is NaN. */
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

    /** A task ran there; {@code warm}: the worker was, so that the run tells of its kind, too. */
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

    /** It was heard from. */
    void onContact(Moment now) {
        lastContact = now;
        probeUnanswered = false;
    }

    /** Whether a connection to it is idle that was in use within that span. */
    boolean hasIdleConnection(Moment now, Span idleTimeout) {
        while (!idleConnections.isEmpty() && !idleTimeout.longerThan(now.since(idleConnections.peek()))) {
            idleConnections.poll();
        }
        return !idleConnections.isEmpty();
    }

    boolean wasHeardFrom() {
        return hasReported || lastContact != null;
    }

    /** Both drop a repeat of what the other has seen. */
    boolean sharesDeduplicationScope(Worker other, TrafficType.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone == other.zone;
            case CELL -> cell == other.cell;
        };
    }

    /** The weight in the list of the largest of its kind; 1 where none is listed. */
    double kindWeight() {
        return kindStatistics.maxListedWeight > 0 ? kindStatistics.maxListedWeight : 1;
    }

    /** Slots that this dispatcher's own attempts take or wait for. */
    double ownSlots() {
        double sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.countsAsLoad() ? attempt.task.slots : 0;
        }
        return sum;
    }

    /** Slots that this dispatcher's own attempts take that have started. */
    double startedSlots() {
        double sum = 0;
        for (Attempt attempt : attempts) {
            sum += attempt.startedAt != null && attempt.countsAsLoad() ? attempt.task.slots : 0;
        }
        return sum;
    }
}
