package rampshift.policy;

/** Statistics over all workers of one zone. */
final class ZoneStatistics {
    /** For the last attempts sent on a report of an idle slot: 1 if it found one, else 0. */
    final DecayingSamples idleReportAccuracy = new DecayingSamples(16);
    /** For the last attempts: 1 if it started, 0 if it was lost. */
    final DecayingSamples reached = new DecayingSamples(32);
}
