package rampshift.policy;

/** The last reported loads over the whole fleet, without this dispatcher's own, per slot of capacity. */
final class FleetLoad {
    private final SampleWindow ownZone = new SampleWindow(64);
    private final SampleWindow otherZones = new SampleWindow(64);
    private final SampleWindow constrainedTypeWorkers = new SampleWindow(64);
    private final SampleWindow otherWorkers = new SampleWindow(64);

    void put(Worker worker, boolean isOwnZone, double loadPerSlot) {
        (isOwnZone ? ownZone : otherZones).put(loadPerSlot);
        (worker.servesConstrainedTypes ? constrainedTypeWorkers : otherWorkers).put(loadPerSlot);
    }

    /** The mean load of the own zone, or of all others. */
    double mean(boolean ofOwnZone) {
        return (ofOwnZone ? ownZone : otherZones).mean(0);
    }

    /** How much fuller workers are where bound types run, over the rest; 1 is alike. */
    double constrainedLoadRatio() {
        double isPlacementConstrained = constrainedTypeWorkers.mean(0);
        return (1 + isPlacementConstrained) / (1 + otherWorkers.mean(isPlacementConstrained));
    }
}
