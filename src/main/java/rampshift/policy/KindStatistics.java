package rampshift.policy;

/** Statistics over all workers of one kind: the prior for a worker of which little is known. */
final class KindStatistics {
    /** The greatest weight in an endpoint list. */
    double maxListedWeight;
    /**
     * Slots of a worker, by the last reports; without load reports, slots in which own attempts ran at once.
     */
    final SampleWindow capacities = new SampleWindow(32);
    /** Delays from send to start of the last attempts, in milliseconds. */
    final DecayingSamples startDelaysMs = new DecayingSamples(16);
    /** Expected running times of the last tasks at a mean worker, in milliseconds. */
    final SampleWindow expectedRunsMs = new SampleWindow(64);
    /** Measured running times of the same tasks. */
    final SampleWindow actualRunsMs = new SampleWindow(64);
}
