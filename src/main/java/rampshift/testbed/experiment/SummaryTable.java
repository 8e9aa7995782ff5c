package rampshift.testbed.experiment;

import java.io.PrintStream;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import rampshift.testbed.verification.Verdict;

/** Prints the summary of a run. */
final class SummaryTable {
    private static final double MICROS_PER_MS = 1000;
    private static final String ALL_TYPES = "all";

    private SummaryTable() {}

    /** Prints the counts by traffic type, the rules, and whether the run is void. */
    static void print(RunOutcome outcome, PrintStream out) {
        LoadResults load = outcome.load();
        TrafficCounts total = load.totalCounts();
        out.printf(Locale.ROOT,
                "%nearnings served %.1f%%   tasks %.0f   tries %d   assignments %d   copies %d%n%n",
                100 * outcome.servedEarningsShare(), total.tasks(), load.sentRequests(),
                outcome.verdict().attempts(), outcome.verdict().repeatedAttempts());
        out.printf("%-18s %7s %7s %9s %7s %9s %6s %7s %8s %8s%n", "traffic type", "tasks", "in time",
                "finished", "bounced", "abandoned", "other", "p50 ms", "p99 ms", "p99.9 ms");
        load.countsByType().forEach(
                (type, counts) -> printRow(out, type, counts, load.histogram(LatencyKind.LATENCY, type)));
        printRow(out, ALL_TYPES, total, load.totalHistogram(LatencyKind.LATENCY));
        out.println();
        printRules(outcome.verdict(), out);
        if (outcome.isVoid()) {
            printVoid(outcome, out);
        }
    }

    private static void printRow(PrintStream out, String name, TrafficCounts counts, Histogram latency) {
        out.printf(Locale.ROOT, "%-18s %7.0f %7.0f %9.0f %7.0f %9.0f %6.0f %7.1f %8.1f %8.1f%n", name,
                counts.tasks(), counts.inTime(), counts.ended(TaskEnd.FINISHED),
                counts.ended(TaskEnd.BOUNCED), counts.ended(TaskEnd.ABANDONED), counts.failedOtherwise(),
                latency.getValueAtPercentile(50) / MICROS_PER_MS,
                latency.getValueAtPercentile(99) / MICROS_PER_MS,
                latency.getValueAtPercentile(99.9) / MICROS_PER_MS);
    }

    private static void printVoid(RunOutcome outcome, PrintStream out) {
        out.printf(Locale.ROOT,
                "%nVOID: %.1f%% of the sends were later than allowed; this machine was too busy, "
                        + "so the figures describe the load generator as much as the dispatchers.%n",
                100 * outcome.load().lateShare());
        double stolenShare = outcome.costs().stolenShare();
        if (stolenShare > 0) {
            out.printf(Locale.ROOT,
                    "The host gave %.0f%% of the CPU time demanded by this machine to others.%n",
                    100 * stolenShare);
        }
    }

    /** Prints how often each rule applied and was broken, and how fast failed dispatchers were detected. */
    static void printRules(Verdict verdict, PrintStream out) {
        out.printf("%-36s %9s %7s%n", "rule", "at stake", "broken");
        for (Verdict.Rule rule : verdict.rules()) {
            out.printf("%-36s %9d %7d%n", rule.name(), rule.cases(), rule.breaches());
            rule.examples().forEach(example -> out.println("    " + example));
        }
        if (!verdict.detectionMs().isEmpty()) {
            double[] detectionMs =
                    verdict.detectionMs().stream().mapToDouble(Double::doubleValue).sorted().toArray();
            out.printf(Locale.ROOT,
                    "a killed dispatcher was known to have failed after %.0f ms (median), "
                            + "%.0f ms at the most, by %d%n",
                    detectionMs[detectionMs.length / 2], detectionMs[detectionMs.length - 1],
                    detectionMs.length);
        }
    }
}
