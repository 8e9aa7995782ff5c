package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.Locale;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.Verdict;
import rampshift.time.Moment;

/**
 * The outcome of a run.
 *
 * @param verdict the result of the verification
 * @param load the counts and measurements of the clients
 * @param costs the resources used by the dispatchers
 * @param measuredSeconds the length of the run without its warm-up, in seconds
 * @param startSecond the start of the load, in seconds since the first event in the event logs
 */
record RunOutcome(Verdict verdict, LoadResults load, RunCosts costs, double measuredSeconds,
        double startSecond) {

    /** With a larger share of late sends, latencies measure the load generator instead of the dispatchers. */
    private static final double MAX_LATE_SHARE = 0.01;
    private static final double MS_PER_SECOND = 1000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MS = 1000;

    /**
     * Verifies a run that has ended, and reads its results.
     *
     * @param start when the load started
     * @throws IOException if a file of the run is missing or malformed
     */
    static RunOutcome read(FleetPlan plan, RunFolder folder, RunCosts costs, Moment start)
            throws IOException {
        Verdict verdict = RunVerification.verify(plan, folder);
        LoadResults load = LoadResults.read(folder, plan.clients().processes());
        double measuredSeconds = plan.length().minus(plan.clients().warmUp()).millis() / MS_PER_SECOND;
        double startSecond = (start.micros() - verdict.fromMicros()) / MICROS_PER_SECOND;
        return new RunOutcome(verdict, load, costs, measuredSeconds, startSecond);
    }

    /** Returns whether the load generator sent too late for its latencies to describe the dispatchers. */
    boolean isVoid() {
        return load.lateShare() > MAX_LATE_SHARE;
    }

    /** Returns why the run is void, as part of a line. */
    String voidCause() {
        return String.format(Locale.ROOT, "%.1f%% sent late, the host took %.0f%%", 100 * load.lateShare(),
                100 * costs.stolenShare());
    }

    /** Returns whether no rule was broken. */
    boolean keptRules() {
        return verdict.allRulesHold();
    }

    /** Returns the share of the possible earnings that were earned, 0 to 1; 1 if none were possible. */
    double servedEarningsShare() {
        TrafficCounts counts = load.totalCounts();
        return counts.possibleEarnings() == 0 ? 1 : counts.earnings() / counts.possibleEarnings();
    }

    /** Returns the number of tasks that finished per second. */
    double finishedPerSecond() {
        return load.totalCounts().ended(TaskEnd.FINISHED) / measuredSeconds;
    }

    /** Returns a percentile, 0 to 100, of the durations of all traffic types, in milliseconds. */
    double percentileMs(LatencyKind kind, double percentile) {
        return load.totalHistogram(kind).getValueAtPercentile(percentile) / MICROS_PER_MS;
    }
}
