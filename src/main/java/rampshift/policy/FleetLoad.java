package rampshift.policy;

/**
 * The last loads reported by workers of the fleet per slot of capacity, without this dispatcher's attempts.
 */
final class FleetLoad {
    private final SampleWindow ownZone = new SampleWindow(64);
    private final SampleWindow otherZones = new SampleWindow(64);
    private final SampleWindow constrainedTypeWorkers = new SampleWindow(64);
    private final SampleWindow otherWorkers = new SampleWindow(64);

    void put(Worker worker, boolean isOwnZone, double loadPerSlot) {
        (isOwnZone ? ownZone : otherZones).put(loadPerSlot);
        (worker.servesConstrainedTypes ? constrainedTypeWorkers : otherWorkers).put(loadPerSlot);
    }

    /** Returns the mean load per slot in the own zone, or in all others. */
    double mean(boolean ofOwnZone) {
        return (ofOwnZone ? ownZone : otherZones).mean(0);
    }

    /**
     * Returns how much more loaded workers that serve constrained types are than the others: one plus the
     * load per slot of the former, over one plus that of the latter; 1 if equal.
     */
    double constrainedLoadRatio() {
        double constrainedLoad = constrainedTypeWorkers.mean(0);
        return (1 + constrainedLoad) / (1 + otherWorkers.mean(constrainedLoad));
    }
}
