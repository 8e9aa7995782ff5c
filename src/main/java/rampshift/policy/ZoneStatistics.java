package rampshift.policy;

/** What was seen of all workers of one zone. */
final class ZoneStatistics {
    /** Of the last assignments that reports promised an idle slot: 1 for each that had one. */
    final DecayingSamples reportsHeld = new DecayingSamples(16);
    /** Of the last assignments: 1 for each that began, 0 for each of which nothing was heard. */
    final DecayingSamples reached = new DecayingSamples(32);
}
