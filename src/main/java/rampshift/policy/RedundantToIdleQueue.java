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

    private static final int TESTED_AT_ONCE = 2;
    private static final int MAX_DRAWS = 3; // in a large fleet a few busy candidates tell little
    private static final double CONTACT_FRESH_MEAN_RUNS = 1; // that it counts as a health check's answer
    private static final double PROBE_WAIT_MEAN_RUNS = 0.1;
    private static final double VALUE_EXPONENT = 6; // of a candidate's share of the value, in its odds

    /** The next step of a task that is nowhere in flight. */
    TaskAction place(Task task) {
        if (admission.isOutbid(task)) {
            return TaskAction.GIVE_UP;
        }
        while (true) {
            testNext(task);
            if (!task.toProbe.isEmpty()) {
                return new TaskAction.Probe(task.toProbe.poll());
            }
            if (task.probesPending > 0 && context.now().before(task.probeUntil)) {
                return TaskAction.WAIT;
            }
            Candidate best = bestTested(task);
            if (task.hasUntested() && !isIdleAndGood(task, best)) {
                task.testing = false;
                continue;
            }
            Worker chosen = choose(task, best);
            boolean isLastDraw = task.draws >= MAX_DRAWS;
            if (chosen != null && !admission.rejects(task, chosen, best.score(), isLastDraw)) {
                hedge(task, chosen);
                return new TaskAction.Forward(chosen);
            }
            if (isLastDraw) {
                return chosen == null ? TaskAction.NOBODY_PERMITTED : TaskAction.GIVE_UP;
            }
            task.testing = false;
        }
    }

    /** Samples candidates where all are tested, and tests the next of them for idleness. */
    private void testNext(Task task) {
        if (!task.testing) {
            task.testing = true;
            if (!task.hasUntested()) {
                sampler.sample(task);
            }
            probeNext(task);
        }
    }

    /** Probes the next candidates whose last contact is no longer fresh, and sets the short wait. */
    private void probeNext(Task task) {
        int from = task.tested;
        // Live weights of the list tell as much, and cost nothing. So does an attempt, where the task may go
        // on to the next worker and no report would come with the answer.
        boolean probes = context.settings.mayProbe && !context.settings.liveWeights
                && (context.settings.reportsLoad || !eligibility.mayHedge(task));
        int all = task.candidates.size();
        task.tested = probes ? Math.min(from + TESTED_AT_ONCE, all) : all;
        if (!probes) {
            return;
        }
        Span fresh = context.runs.mean().times(CONTACT_FRESH_MEAN_RUNS);
        Span wait = context.runs.mean().times(PROBE_WAIT_MEAN_RUNS);
        for (Worker worker : task.candidates.subList(from, task.tested)) {
            boolean pending = worker.probedAt != null && wait.longerThan(context.since(worker.probedAt))
                    && !worker.awaitingProbe.isEmpty();
            boolean stale = worker.lastContact == null || context.since(worker.lastContact).longerThan(fresh);
            if ((pending || stale) && task.randomDraw <= estimates.trust(worker)) {
                task.awaitProbe(worker, !pending);
            }
        }
        if (task.probesPending > 0) {
            task.probeUntil = context.after(wait);
            context.tasks.decideAt(task.probeUntil, task);
        }
    }

    /** Idle candidates that are good come first, then those of the most value. */
    private Candidate bestTested(Task task) {
        task.endProbes();
        estimates.readReportsFrom(task.randomDraw);
        Worker best = null;
        double most = 0;
        for (Worker worker : task.testedCandidates()) {
            if (eligibility.permits(task, worker)) {
                double worth = value.ofAttempt(task, worker);
                worth += value.isGood(task, worth) && estimates.isIdle(worker, task) ? value.ofTask(task) : 0;
                if (best == null || worth > most) {
                    best = worker;
                    most = worth;
                }
            }
        }
        return new Candidate(best, most);
    }

    private boolean isIdleAndGood(Task task, Candidate best) {
        return best.worker() != null && !(best.score() < (1 + ExpectedValue.GOOD_SHARE) * value.ofTask(task));
    }

    /** Where no report tells the idle ones apart: one of them at random, in proportion to what it can do. */
    private Worker choose(Task task, Candidate best) {
        boolean anyIdle = best.score() > value.ofTask(task);
        if (context.settings.reportsLoad || !eligibility.mayHedge(task) || !anyIdle) {
            return best.worker();
        }
        List<Worker> idle = new ArrayList<>();
        List<Double> weights = new ArrayList<>();
        for (Worker worker : task.testedCandidates()) {
            double worth = eligibility.permits(task, worker) ? value.ofAttempt(task, worker) : 0;
            double share = worth / value.ofTask(task);
            if (share >= ExpectedValue.GOOD_SHARE && estimates.isIdle(worker, task)) {
                idle.add(worker);
                weights.add(worker.listedSize() * Math.pow(share, VALUE_EXPONENT));
            }
        }
        return idle.get(context.random.nextIndex(weights));
    }

    private void hedge(Task task, Worker first) {
        for (Worker worker : task.testedCandidates()) {
            if (worker != first && retries.hedgePays(task, worker)) {
                task.hedgeTargets.add(worker);
            }
        }
        retries.onFirstAttempt();
    }

    /** For a task in flight: the worker of a new draw at which a further attempt is worth most, or null. */
    Worker sampleAgain(Task task) {
        task.newDraw();
        sampler.sample(task);
        Worker best = null;
        double most = 0;
        for (Worker worker : task.candidates) {
            double worth = eligibility.permits(task, worker) ? value.ofAttempt(task, worker) : 0;
            if (worth > most) {
                best = worker;
                most = worth;
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
