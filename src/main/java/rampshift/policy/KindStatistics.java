package rampshift.policy;

/** What was seen of all workers of one kind: the guess for one of them that little was seen of. */
final class KindStatistics {
    /** The greatest weight listed. */
    double maxListedWeight;
    /** Slots in all, by the last reports. */
    final SampleWindow capacities = new SampleWindow(32);
    /** From send to start of the last attempts, in milliseconds. */
    final DecayingSamples startDelaysMs = new DecayingSamples(16);
    /** What a middling worker would have run the last tasks, and what they ran, in milliseconds. */
    final SampleWindow expectedRunsMs = new SampleWindow(64);
    final SampleWindow actualRunsMs = new SampleWindow(64);
}
