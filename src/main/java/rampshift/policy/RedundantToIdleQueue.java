package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;

/**
 * The Redundant-to-Idle-Queue rule. It samples workers, tests each of them for idleness, and sends hedged
 * copies of the task to the idle ones, or one attempt that joins a queue where none is idle. The first
 * attempt to start cancels those that still queue; the first to finish cancels the rest.
 */
record RedundantToIdleQueue(PolicyContext context, CandidateSampler sampler, WorkerEstimates estimates,
        Eligibility eligibility, ExpectedValue value, Admission admission, RetryPolicy retries) {

    /** Number of candidates whose idleness is tested at once where they may be probed. */
    private static final int IDLENESS_TESTS_AT_ONCE = 2;
    /** Samples for one placement. In a large fleet one sample of busy workers says little about the rest. */
    private static final int MAX_SAMPLES = 3;
    /** Age, in mean running times, up to which the last contact with a worker replaces a probe. */
    private static final double FRESH_CONTACT_MEAN_RUNS = 1;
    /** How long a task waits for the answers to its probes, in mean running times. */
    private static final double PROBE_TIMEOUT_MEAN_RUNS = 0.1;
    /**
     * Exponent of a candidate's value share (the value of an attempt there over that of the task). The
     * candidate's weight in the random choice is this power times the greatest listed weight of its kind.
     */
    private static final double VALUE_SHARE_EXPONENT = 6;

    /**
     * Returns the next step for a task that has no attempt in flight. Samples candidates, waits for their
     * idleness tests, and sends the first attempt, with hedged copies to further idle candidates. Where no
     * candidate is accepted, samples again, up to MAX_SAMPLES times in all, and then gives the
     * task up.
     */
    TaskAction place(Task task) {
        if (admission.opportunityCostExceedsValue(task)) {
            return TaskAction.GIVE_UP;
        }
        while (true) {
            sampleAndTest(task);
            if (!task.probeTargets.isEmpty()) {
                return new TaskAction.Probe(task.probeTargets.poll());
            }
            if (task.pendingProbes > 0 && context.now().before(task.probeDeadline)) {
                return TaskAction.WAIT;
            }
            Candidate best = bestTestedCandidate(task);
            if (task.hasUntestedCandidates() && !isIdleAndGood(task, best)) {
                task.testInProgress = false;
                continue;
            }
            Worker chosen = chooseWorker(task, best);
            boolean isLastSample = task.sampleCount >= MAX_SAMPLES;
            if (chosen != null && !admission.rejects(task, chosen, best.score(), isLastSample)) {
                addHedgedCopies(task, chosen);
                return new TaskAction.Forward(chosen);
            }
            if (isLastSample) {
                return chosen == null ? TaskAction.NO_WORKER_PERMITTED : TaskAction.GIVE_UP;
            }
            task.testInProgress = false;
        }
    }

    /** Tests the next candidates for idleness; where all were tested, samples further ones first. */
    private void sampleAndTest(Task task) {
        if (!task.testInProgress) {
            task.testInProgress = true;
            if (!task.hasUntestedCandidates()) {
                sampler.sample(task);
            }
            startIdlenessTests(task);
        }
    }

    /**
     * Queues probes of those of the next candidates that are trusted and were not heard from lately, and sets
     * the timeout for the answers. Where candidates are not probed, all of them count as tested at once.
     */
    private void startIdlenessTests(Task task) {
        int from = task.testedCount;
        // Live weights of the endpoint list replace probes at no cost. Where workers report no load, an
        // attempt at a task that may be hedged shows as much as a probe.
        boolean probes = context.settings.mayProbe && !context.settings.liveWeights
                && (context.settings.reportsLoad || !eligibility.mayHedge(task));
        int candidateCount = task.candidates.size();
        task.testedCount = probes ? Math.min(from + IDLENESS_TESTS_AT_ONCE, candidateCount) : candidateCount;
        if (!probes) {
            return;
        }
        Span fresh = context.runs.mean().times(FRESH_CONTACT_MEAN_RUNS);
        Span wait = context.runs.mean().times(PROBE_TIMEOUT_MEAN_RUNS);
        for (Worker worker : task.candidates.subList(from, task.testedCount)) {
            boolean pending = worker.probedAt != null && wait.longerThan(context.since(worker.probedAt))
                    && !worker.awaitingProbe.isEmpty();
            boolean stale = worker.lastContact == null || context.since(worker.lastContact).longerThan(fresh);
            if ((pending || stale) && task.randomDraw <= estimates.reportTrust(worker)) {
                task.awaitProbe(worker, !pending);
            }
        }
        if (task.pendingProbes > 0) {
            task.probeDeadline = context.after(wait);
            context.tasks.decideAt(task.probeDeadline, task);
        }
    }

    /**
     * Returns the tested candidate of the highest score, with a null worker where none is permitted. The
     * score is the value of an attempt there, plus the task's value where the worker is idle and good.
     */
    private Candidate bestTestedCandidate(Task task) {
        task.endPendingProbes();
        estimates.setTrustThreshold(task.randomDraw);
        Worker best = null;
        double bestScore = 0;
        for (Worker worker : task.testedCandidates()) {
            if (eligibility.permits(task, worker)) {
                double score = value.ofAttempt(task, worker);
                score += value.isGood(task, score) && estimates.isIdle(worker, task) ? value.ofTask(task) : 0;
                if (best == null || score > bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
        }
        return new Candidate(best, bestScore);
    }

    /** Returns whether the best candidate is idle and good, so that the others need no test. */
    private boolean isIdleAndGood(Task task, Candidate best) {
        return best.worker() != null
                && !(best.score() < (1 + ExpectedValue.GOOD_VALUE_SHARE) * value.ofTask(task));
    }

    /**
     * Returns the worker of the first attempt: the best candidate, or a random one of the idle candidates
     * where workers report no load and the task may be hedged. The random choice is weighted by the greatest
     * listed weight of the candidate's kind and by the candidate's value share.
     */
    private Worker chooseWorker(Task task, Candidate best) {
        boolean anyIdle = best.score() > value.ofTask(task);
        if (context.settings.reportsLoad || !eligibility.mayHedge(task) || !anyIdle) {
            return best.worker();
        }
        List<Worker> idle = new ArrayList<>();
        List<Double> weights = new ArrayList<>();
        for (Worker worker : task.testedCandidates()) {
            double attemptValue = eligibility.permits(task, worker) ? value.ofAttempt(task, worker) : 0;
            double share = attemptValue / value.ofTask(task);
            if (share >= ExpectedValue.GOOD_VALUE_SHARE && estimates.isIdle(worker, task)) {
                idle.add(worker);
                weights.add(worker.kindWeight() * Math.pow(share, VALUE_SHARE_EXPONENT));
            }
        }
        return idle.get(context.random.nextIndex(weights));
    }

    /** Queues a hedged copy to each other tested candidate that qualifies for one. */
    private void addHedgedCopies(Task task, Worker first) {
        for (Worker worker : task.testedCandidates()) {
            if (worker != first && retries.shouldHedge(task, worker)) {
                task.hedgeTargets.add(worker);
            }
        }
        retries.onFirstAttempt();
    }

    /**
     * Samples workers anew for a task in flight. Returns the one at which a further attempt has the highest
     * value, or null where no value is above zero.
     */
    Worker sampleForRetry(Task task) {
        task.resetSampling();
        sampler.sample(task);
        Worker best = null;
        double bestValue = 0;
        for (Worker worker : task.candidates) {
            double attemptValue = eligibility.permits(task, worker) ? value.ofAttempt(task, worker) : 0;
            if (attemptValue > bestValue) {
                best = worker;
                bestValue = attemptValue;
            }
        }
        return best;
    }

    /**
     * Cancels the open attempts of a closed task; of a task that is not closed, those that have not started.
     */
    void cancelRest(Task task) {
        for (Attempt attempt : task.attempts) {
            boolean isNeeded = !task.closed && attempt.startedAt != null;
            if (context.settings.mayCancel && attempt.isOpen() && !isNeeded) {
                retries.cancel(attempt);
            }
        }
    }
}
