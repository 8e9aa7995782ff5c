package rampshift.policy;

/** What was seen of all workers of one kind: the guess for one of them that little was seen of. */
final class KindStatistics {
    /** The greatest weight listed. */
    double size;
    final SampleWindow room = new SampleWindow(32);
    /** From send to start of the last assignments, in milliseconds. */
    final DecayingSamples starts = new DecayingSamples(16);
    final SampleWindow expected = new SampleWindow(64);
    final SampleWindow ran = new SampleWindow(64);
}
