package rampshift.testbed.experiment;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rampshift.testbed.verification.Verdict;

/** The short table at the end of a run. */
final class SummaryTable {
    private SummaryTable() {}

    static void print(RunOutcome o, PrintStream out) {
        out.printf(Locale.ROOT,
                "%nearnings served %.1f%%   tasks %.0f   tries %d   assignments %d   copies %d%n%n",
                100 * o.earningsServed(), o.sum("tasks"), o.sent, o.verdict.assignments(),
                o.verdict.copies());
        out.printf("%-18s %7s %7s %9s %7s %9s %6s %7s %8s %8s%n", "traffic type", "tasks", "in time",
                "finished",
                "bounced", "abandoned", "other", "p50 ms", "p99 ms", "p99.9 ms");
        for (Map.Entry<String, Map<String, Double>> type : o.types.entrySet()) {
            Map<String, Double> row = type.getValue();
            row(out, type.getKey(), row.get("tasks"), row.get("in_time"), row.get("finished"),
                    row.get("bounced"),
                    row.get("abandoned"), others(row), o.histograms.get("latency." + type.getKey()));
        }
        row(out, "all", o.sum("tasks"), o.sum("in_time"), o.sum("finished"), o.sum("bounced"),
                o.sum("abandoned"),
                o.types.values().stream().mapToDouble(SummaryTable::others).sum(), o.all("latency"));
        out.println();
        rules(o.verdict, out);
        if (o.isVoid()) {
            out.printf(Locale.ROOT,
                    "%nVOID: %.1f%% of the sends were later than allowed; this machine was too busy, "
                            + "and the figures are of the tool as much as of the dispatchers.%n",
                    100 * o.lateShare);
            if (o.costs.stolen() > 0) {
                out.printf(Locale.ROOT,
                        "Of the time that its cores wanted, its host gave %.0f%% to others.%n",
                        100 * o.costs.stolen());
            }
        }
    }

    static void rules(Verdict verdict, PrintStream out) {
        out.printf("%-36s %9s %7s%n", "rule", "at stake", "broken");
        for (Verdict.Rule rule : verdict.rules()) {
            out.printf("%-36s %9d %7d%n", rule.name(), rule.atStake(), rule.broken());
            rule.examples().forEach(e -> out.println("    " + e));
        }
        if (!verdict.knownMs().isEmpty()) {
            double[] known = verdict.knownMs().stream().mapToDouble(Double::doubleValue).sorted().toArray();
            out.printf(Locale.ROOT,
                    "a killed dispatcher was known to have failed after %.0f ms (median), %.0f ms at the most, by %d%n",
                    known[known.length / 2], known[known.length - 1], known.length);
        }
    }

    private static double others(Map<String, Double> row) {
        return row.get("turned_down") + row.get("broken") + row.get("unreachable") + row.get("no_answer");
    }

    private static void row(PrintStream out, String name, double tasks, double inTime, double finished,
            double bounced, double abandoned, double others, Histogram h) {
        out.printf(Locale.ROOT, "%-18s %7.0f %7.0f %9.0f %7.0f %9.0f %6.0f %7.1f %8.1f %8.1f%n", name, tasks,
                inTime,
                finished, bounced, abandoned, others, h.getValueAtPercentile(50) / 1000.0,
                h.getValueAtPercentile(99) / 1000.0, h.getValueAtPercentile(99.9) / 1000.0);
    }
}
