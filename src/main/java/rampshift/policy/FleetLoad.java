package rampshift.policy;

/** The last reported loads over the whole fleet, without this dispatcher's own, per slot of capacity. */
final class FleetLoad {
    private final SampleWindow ownZone = new SampleWindow(64);
    private final SampleWindow otherZones = new SampleWindow(64);
    private final SampleWindow whereBoundTypesRun = new SampleWindow(64);
    private final SampleWindow elsewhere = new SampleWindow(64);

    void put(Worker worker, boolean isOwnZone, double loadPerSlot) {
        (isOwnZone ? ownZone : otherZones).put(loadPerSlot);
        (worker.servesBoundTypes ? whereBoundTypesRun : elsewhere).put(loadPerSlot);
    }

    /** The mean load of the own zone, or of all others. */
    double mean(boolean ofOwnZone) {
        return (ofOwnZone ? ownZone : otherZones).mean(0);
    }

    /** How much fuller workers are where bound types run, over the rest; 1 is alike. */
    double boundTypesRatio() {
        double bound = whereBoundTypesRun.mean(0);
        return (1 + bound) / (1 + elsewhere.mean(bound));
    }
}
