package rampshift.policy;

import java.util.Collections;
import java.util.List;

/** Owns which workers are drawn for a task: random ones that it may go to, half of them from the own zone. */
record CandidateSampler(PolicyContext context, FleetSweep sweep, SlowStart slowStart,
        Eligibility eligibility, OutlierEjection ejection, Admission admission) {

    private static final int CANDIDATES = 6;
    private static final int CONNECTED_CANDIDATES = 3; // more: those to which a connection is free
    private static final int SINGLE_ATTEMPT_FACTOR = 3; // times as many where a task is placed once
    private static final double FULLER_EXPONENT = 4; // of how much fuller bound types' workers are

    /** Adds candidates to those that the task has. */
    void sample(Task task) {
        sweep.runIfDue();
        task.randomDraw = task.draws++ == 0 ? context.random.next() : task.randomDraw;
        context.connections.workers(context.now()).filter(worker -> worker.ready && isCandidate(task, worker))
                .limit(CONNECTED_CANDIDATES).forEach(task.candidates::add);
        var sides = context.workers.sides(task.typeIndex);
        boolean bothSides = !sides.get(0).isEmpty() && !sides.get(1).isEmpty();
        // What can't go on to another queue is placed once: more are looked at.
        boolean placedOnce = !context.settings.reportsLoad && !eligibility.mayHedge(task);
        int limit = (bothSides ? CANDIDATES / 2 : CANDIDATES) * (placedOnce ? SINGLE_ATTEMPT_FACTOR : 1);
        sides.forEach(side -> sample(task, side, limit));
    }

    private void sample(Task task, List<Worker> side, int limit) {
        // The credit bounds what cold ones get over time, the odds a rush of all to one that is idle. What
        // has to stay in a group is sure to draw its cold one: a retry of each dispatcher pushed it over.
        double workersPerCandidate = eligibility.staysInGroup(task) ? 1 : (double) side.size() / limit;
        slowStart.beginDraw(workersPerCandidate, 1 - admission.fullShare());
        int found = 0;
        for (int i = 0; i < side.size() && found < limit; i++) {
            Collections.swap(side, i, i + (int) (context.random.next() * (side.size() - i)));
            Worker worker = side.get(i);
            if (isCandidate(task, worker)) {
                task.candidates.add(worker);
                found++;
            }
        }
    }

    private boolean isCandidate(Task task, Worker worker) {
        return (task.type.bound() || !worker.servesBoundTypes || sparesBoundTypes())
                && ejection.admits(worker, task) && eligibility.allowsRepeat(task, worker)
                && slowStart.joinsDraw(worker) && !task.candidates.contains(worker);
    }

    /**
     * What may run anywhere leaves room where bound types have to run: such workers are drawn the less, the
     * fuller they are than the rest. Drawback: more attempts cross to other zones.
     */
    private boolean sparesBoundTypes() {
        double fuller = context.load.boundTypesRatio();
        return fuller <= 1 || context.random.next() < Math.pow(fuller, -FULLER_EXPONENT);
    }
}
