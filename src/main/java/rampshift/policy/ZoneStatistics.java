package rampshift.policy;

/** What was seen of all workers of one zone. */
final class ZoneStatistics {
    /** Of the last attempts that reports promised an idle slot: 1 for each that had one. */
    final DecayingSamples idleReportAccuracy = new DecayingSamples(16);
    /** Of the last attempts: 1 for each that started, 0 for each of which nothing was heard. */
    final DecayingSamples reached = new DecayingSamples(32);
}
