package rampshift.policy;

/** Looks over all ready workers, when that is due, and tells the parts how many are ejected or cold. */
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
        if (!ejection.sweepDue()) {
            return;
        }
        int ready = 0;
        int bad = 0;
        double size = 0;
        double coldSize = 0;
        for (Worker worker : context.workers.all) {
            if (worker.ready) {
                double warmth = slowStart.warmth(worker);
                ready++;
                bad += ejection.looksBad(worker) ? 1 : 0;
                size += worker.listedSize();
                coldSize += warmth < 1 ? worker.listedSize() * warmth : 0;
            }
        }
        ejection.onSweep(ready, bad);
        slowStart.onSweep(coldSize == 0 ? 0 : coldSize / size);
    }
}
