package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;

/**
 * Owns the mechanism, the Redundant-to-Idle-Queue rule: sample some workers, test whether they are idle,
 * hedge to those that are or else join one queue; the first to finish cancels the rest.
 */
record RedundantToIdleQueue(PolicyContext context, CandidateSampler sampler, WorkerEstimates estimates,
        Eligibility eligibility, ExpectedValue value, Admission admission, RetryPolicy retries) {

    private static final int IDLENESS_TESTS_AT_ONCE = 2;
    private static final int MAX_SAMPLES = 3; // in a large fleet a few busy candidates tell little
    private static final double FRESH_CONTACT_MEAN_RUNS = 1; // that it counts as a health check's answer
    private static final double PROBE_TIMEOUT_MEAN_RUNS = 0.1;
    private static final double VALUE_SHARE_EXPONENT = 6; // of a candidate's share of the value, in its odds

    /** The next step of a task that is nowhere in flight. */
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

    /** Samples candidates where all are tested, and tests the next of them for idleness. */
    private void sampleAndTest(Task task) {
        if (!task.testInProgress) {
            task.testInProgress = true;
            if (!task.hasUntestedCandidates()) {
                sampler.sample(task);
            }
            startIdlenessTests(task);
        }
    }

    /** Probes the next candidates whose last contact is no longer fresh, and sets the short wait. */
    private void startIdlenessTests(Task task) {
        int from = task.testedCount;
        // Live weights of the list tell as much, and cost nothing. So does an attempt, where the task may go
        // on to the next worker and no report would come with the answer.
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

    /** Idle candidates that are good come first, then those of the most value. */
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

    private boolean isIdleAndGood(Task task, Candidate best) {
        return best.worker() != null
                && !(best.score() < (1 + ExpectedValue.GOOD_VALUE_SHARE) * value.ofTask(task));
    }

    /** Where no report tells the idle ones apart: one of them at random, in proportion to what it can do. */
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

    private void addHedgedCopies(Task task, Worker first) {
        for (Worker worker : task.testedCandidates()) {
            if (worker != first && retries.shouldHedge(task, worker)) {
                task.hedgeTargets.add(worker);
            }
        }
        retries.onFirstAttempt();
    }

    /** For a task in flight: the worker of a new draw at which a further attempt is worth most, or null. */
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

    /** Cancels what is still in flight once the task is answered; once it has started, only what has not. */
    void cancelRest(Task task) {
        for (Attempt attempt : task.attempts) {
            boolean isNeeded = !task.closed && attempt.startedAt != null;
            if (context.settings.mayCancel && attempt.isOpen() && !isNeeded) {
                retries.cancel(attempt);
            }
        }
    }
}
