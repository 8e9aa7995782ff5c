package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A task that has arrived, with its state, its candidates and its attempts. */
final class Task {
    final long id;
    final TrafficType type;
    final int typeIndex;
    /** Running time on a standard core by the client's hint; zero where there is none. */
    final Span runHint;
    final double slots;
    final double memory;
    /**
     * When the client first sent the request, derived from the time that is left of the type's timeout; when
     * the task arrived, if its client counts as one with a short timeout.
     */
    Moment firstRequestedAt;
    Moment deadline;
    /** All attempts, in the order of their numbers. */
    final ArrayList<Attempt> attempts = new ArrayList<>();
    int openAttempts;
    /** The workers sampled for the task. */
    final ArrayList<Worker> candidates = new ArrayList<>();
    /** Candidates that a probe is still to be sent to. */
    final ArrayDeque<Worker> probeTargets = new ArrayDeque<>();
    /** Workers that a hedged copy is still to be sent to. */
    final ArrayDeque<Worker> hedgeTargets = new ArrayDeque<>();
    /** Whether its latency objective had passed when it arrived, by the time that was left. */
    boolean arrivedLate;
    /** Share of its value, 0 to 1, that is deducted as its tenant exceeds the quota. */
    double quotaDiscount;
    /** Number of samples for the present placement. */
    int sampleCount;
    /** Number of candidates, from the first, that were tested for idleness or are being tested. */
    int testedCount;
    /**
     * A random number from 0 to 1, drawn with the first sample. It decides whether candidates without trusted
     * reports count as idle, and is the trust that a worker needs for its reports to be read.
     */
    double randomDraw;
    /** When the next review is due; null or not in the future if none is scheduled. */
    Moment nextReviewAt;
    /** Whether an idleness test of some candidates has begun and was not yet decided on. */
    boolean testInProgress;
    int pendingProbes;
    /** Until when the task waits for the answers to its probes. */
    Moment probeDeadline;
    /** The last worker that answered with an error. */
    Worker lastErrorWorker;
    /** Whether it has its final answer or needs none. */
    boolean closed;
    /** Whether it is in the queue for a decision. */
    boolean queued;

    Task(long id, TrafficType type, TaskRequest request, Moment now) {
        this.id = id;
        this.type = type;
        this.typeIndex = request.type();
        this.runHint = request.runHint();
        this.slots = Math.max(request.slots(), 1);
        this.memory = request.memory();
        this.deadline = now.plus(request.remainingTime());
        this.firstRequestedAt = deadline.minus(type.timeout()).orEarlier(now);
    }

    /** Drops the candidates, so that the next placement samples anew. */
    void resetSampling() {
        candidates.clear();
        sampleCount = 0;
        testedCount = 0;
        testInProgress = false;
    }

    boolean hasUntestedCandidates() {
        return testedCount < candidates.size();
    }

    List<Worker> testedCandidates() {
        return candidates.subList(0, testedCount);
    }

    /** Waits for the worker's answer to a probe, which is to be sent or already in flight. */
    void awaitProbe(Worker worker, boolean send) {
        if (send) {
            probeTargets.add(worker);
        }
        worker.awaitingProbe.add(this);
        pendingProbes++;
    }

    /** Records that a probe was answered or failed; returns whether no other is pending. */
    boolean onProbeDone() {
        return --pendingProbes == 0;
    }

    /** Stops waiting for probes. Candidates that have not answered count as busy. */
    void endPendingProbes() {
        candidates.forEach(worker -> worker.probeUnanswered |= worker.awaitingProbe.remove(this));
        pendingProbes = 0;
    }

    /** Returns whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> !attempt.neverRan);
    }

    /** Returns the last attempt that is neither ended nor cancelled, or null. */
    Attempt lastOpenAttempt() {
        Attempt last = null;
        for (Attempt attempt : attempts) {
            last = attempt.isOpen() ? attempt : last;
        }
        return last;
    }
}
