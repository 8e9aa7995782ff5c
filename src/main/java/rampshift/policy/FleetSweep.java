package rampshift.policy;

/**
 * Counts, at intervals, the ready workers that are ejected or silent, and computes the present capacity of
 * cold workers as a share of that of the whole fleet when warm.
 */
final class FleetSweep {
    private final PolicyContext context;
    private final SlowStart slowStart;
    private final OutlierEjection ejection;

    FleetSweep(PolicyContext context, SlowStart slowStart, OutlierEjection ejection) {
        this.context = context;
        this.slowStart = slowStart;
        this.ejection = ejection;
    }

    void runIfDue() {
        if (!ejection.isSweepDue()) {
            return;
        }
        int ready = 0;
        int unhealthy = 0;
        double totalWeight = 0;
        double coldWeight = 0;
        for (Worker worker : context.workers.all) {
            if (worker.ready) {
                double warmUpSpeedFactor = slowStart.warmUpSpeedFactor(worker);
                ready++;
                unhealthy += ejection.isEjectedOrSilent(worker) ? 1 : 0;
                totalWeight += worker.kindWeight();
                coldWeight += warmUpSpeedFactor < 1 ? worker.kindWeight() * warmUpSpeedFactor : 0;
            }
        }
        ejection.onSweep(ready, unhealthy);
        slowStart.onSweep(coldWeight == 0 ? 0 : coldWeight / totalWeight);
    }
}
