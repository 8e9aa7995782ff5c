package rampshift.policy;

import java.util.Collections;
import java.util.List;

/** Owns which workers are drawn for a task: random ones that it may go to, half of them from the own zone. */
record CandidateSampler(PolicyContext context, FleetSweep sweep, SlowStart slowStart,
        Eligibility eligibility, OutlierEjection ejection, Admission admission) {

    private static final int SAMPLE_SIZE = 6;
    private static final int MAX_CONNECTED_CANDIDATES = 3; // more: those to which a connection is free
    private static final int SINGLE_ATTEMPT_SAMPLE_FACTOR = 3; // times as many where a task is placed once
    private static final double LOAD_RATIO_EXPONENT = 4; // of how much fuller bound types' workers are

    /** Adds candidates to those that the task has. */
    void sample(Task task) {
        sweep.runIfDue();
        task.randomDraw = task.sampleCount++ == 0 ? context.random.next() : task.randomDraw;
        context.connections.workers(context.now()).filter(worker -> worker.ready && isCandidate(task, worker))
                .limit(MAX_CONNECTED_CANDIDATES).forEach(task.candidates::add);
        var localAndRemote = context.workers.localAndRemote(task.typeIndex);
        boolean hasLocalAndRemote = !localAndRemote.get(0).isEmpty() && !localAndRemote.get(1).isEmpty();
        // What can't go on to another queue is placed once: more are looked at.
        boolean singleAttempt = !context.settings.reportsLoad && !eligibility.mayHedge(task);
        int limit = (hasLocalAndRemote ? SAMPLE_SIZE / 2 : SAMPLE_SIZE)
                * (singleAttempt ? SINGLE_ATTEMPT_SAMPLE_FACTOR : 1);
        localAndRemote.forEach(workers -> sample(task, workers, limit));
    }

    private void sample(Task task, List<Worker> workers, int limit) {
        // The credit bounds what cold ones get over time, the odds a rush of all to one that is idle. What
        // has to stay in a group is sure to draw its cold one: a retry of each dispatcher pushed it over.
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
     * What may run anywhere leaves room where bound types have to run: such workers are drawn the less, the
     * fuller they are than the rest. Drawback: more attempts cross to other zones.
     */
    private boolean passesConstrainedLoadCheck() {
        double loadRatio = context.load.constrainedLoadRatio();
        return loadRatio <= 1 || context.random.next() < Math.pow(loadRatio, -LOAD_RATIO_EXPONENT);
    }
}
