package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A task taken and what became of it so far. */
final class Task {
    final long id;
    final TrafficType type;
    final int typeIndex;
    /** What it should run on a standard core, by its client's hint; zero where there is none. */
    final Span runHint;
    final double slots;
    final double memory;
    /** When the client first asked, as far as the time it has left tells. */
    Moment firstRequestedAt;
    Moment deadline;
    /** All of them, in the order of their numbers. */
    final ArrayList<Attempt> attempts = new ArrayList<>();
    int openAttempts;
    /** The workers drawn for it. */
    final ArrayList<Worker> candidates = new ArrayList<>();
    final ArrayDeque<Worker> probeTargets = new ArrayDeque<>();
    final ArrayDeque<Worker> hedgeTargets = new ArrayDeque<>();
    /** It came too late to end in time, by the time it had left. */
    boolean arrivedLate;
    /** The part of its value, 0 to 1, that its tenant's traffic beyond the quota takes off. */
    double quotaDiscount;
    int sampleCount;
    /** How many of the candidates were tested for idleness, or are being tested. */
    int testedCount;
    /** 0 to 1; decides whether candidates never heard from count as idle, and which reports are read. */
    double randomDraw;
    /** When it is reviewed next, once it was sent; not after now where no review is to come. */
    Moment nextReviewAt;
    /** Some candidates are being tested. */
    boolean testInProgress;
    int pendingProbes;
    Moment probeDeadline;
    /** The worker that it last failed at with an error. */
    Worker lastErrorWorker;
    /** It has its final answer, or none is owed any longer. */
    boolean closed;
    /** It waits for a decision. */
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

    /** Forgets the candidates of the last draw. */
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

    /** The worker's answer to a probe is awaited, to one that is out or to one to be sent. */
    void awaitProbe(Worker worker, boolean send) {
        if (send) {
            probeTargets.add(worker);
        }
        worker.awaitingProbe.add(this);
        pendingProbes++;
    }

    /** A worker has answered, or its probe failed; true once none is awaited any more. */
    boolean onProbeDone() {
        return --pendingProbes == 0;
    }

    /** Workers that were silent until now count as busy. */
    void endPendingProbes() {
        candidates.forEach(worker -> worker.probeUnanswered |= worker.awaitingProbe.remove(this));
        pendingProbes = 0;
    }

    /** Whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> !attempt.neverRan);
    }

    /** The last attempt that is neither ended nor cancelled. */
    Attempt lastOpenAttempt() {
        Attempt last = null;
        for (Attempt attempt : attempts) {
            last = attempt.isOpen() ? attempt : last;
        }
        return last;
    }
}
