package rampshift.policy;

import java.util.Collections;
import java.util.List;

/**
 * Samples the candidates for a task: random workers that it may go to, half of them from the own zone where
 * both the own zone and others have some.
 */
record CandidateSampler(PolicyContext context, FleetSweep sweep, SlowStart slowStart,
        Eligibility eligibility, OutlierEjection ejection, Admission admission) {

    /** Number of workers in a sample, over all zones: the d of the Redundant-to-Idle-Queue rule. */
    private static final int SAMPLE_SIZE = 6;
    /** Number of workers with an idle connection that may join a sample in addition. */
    private static final int MAX_CONNECTED_CANDIDATES = 3;
    /** Factor on the sample size for a task that can't be hedged while workers report no load. */
    private static final int SINGLE_ATTEMPT_SAMPLE_FACTOR = 3;
    /**
     * Exponent by which the probability that an unconstrained task samples a worker of constrained types
     * falls with the load of such workers over that of the others.
     */
    private static final double LOAD_RATIO_EXPONENT = 4;

    /** Adds a sample of workers to the task's candidates. */
    void sample(Task task) {
        sweep.runIfDue();
        task.randomDraw = task.sampleCount++ == 0 ? context.random.next() : task.randomDraw;
        context.connections.workers(context.now()).filter(worker -> worker.ready && isCandidate(task, worker))
                .limit(MAX_CONNECTED_CANDIDATES).forEach(task.candidates::add);
        var localAndRemote = context.workers.localAndRemote(task.typeIndex);
        boolean hasLocalAndRemote = !localAndRemote.get(0).isEmpty() && !localAndRemote.get(1).isEmpty();
        // A task that can't queue at a second worker needs a larger sample to find a short queue.
        boolean singleAttempt = !context.settings.reportsLoad && !eligibility.mayHedge(task);
        int limit = (hasLocalAndRemote ? SAMPLE_SIZE / 2 : SAMPLE_SIZE)
                * (singleAttempt ? SINGLE_ATTEMPT_SAMPLE_FACTOR : 1);
        localAndRemote.forEach(workers -> sample(task, workers, limit));
    }

    private void sample(Task task, List<Worker> workers, int limit) {
        // The slow-start credit bounds what cold workers get over time; the sampling probability bounds a
        // burst of all dispatchers to one idle cold worker. A task that must stay in its deduplication scope
        // has few candidates. With the probability scaled by the fleet's size it would always sample the cold
        // worker among them, and one retry from each dispatcher is enough to overload that worker.
        double workersPerCandidate =
                eligibility.mustStayInDeduplicationScope(task) ? 1 : (double) workers.size() / limit;
        slowStart.beginSample(workersPerCandidate, 1 - admission.rejectedAsFullShare());
        int found = 0;
        for (int i = 0; i < workers.size() && found < limit; i++) {
            Collections.swap(workers, i, i + (int) (context.random.next() * (workers.size() - i)));
            Worker worker = workers.get(i);
            if (isCandidate(task, worker)) {
                task.candidates.add(worker);
                found++;
            }
        }
    }

    private boolean isCandidate(Task task, Worker worker) {
        return (task.type.isPlacementConstrained() || !worker.servesConstrainedTypes
                || passesConstrainedLoadCheck())
                && ejection.admits(worker, task) && eligibility.allowsAttempt(task, worker)
                && slowStart.joinsSample(worker) && !task.candidates.contains(worker);
    }

    /**
     * Returns whether an unconstrained task samples a worker that also serves constrained types. The more
     * such workers are loaded compared with the others, the less likely that is, so that capacity is left to
     * the types that can't run elsewhere. Drawback: more attempts cross to other zones.
     */
    private boolean passesConstrainedLoadCheck() {
        double loadRatio = context.load.constrainedLoadRatio();
        return loadRatio <= 1 || context.random.next() < Math.pow(loadRatio, -LOAD_RATIO_EXPONENT);
    }
}
