package rampshift.testbed.experiment;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the medians and differences of an experiment. */
final class ExperimentTable {
    private ExperimentTable() {}

    /** Prints all figures of all arms. */
    static void print(ExperimentResults results, PrintStream out) {
        int runs = results.validSeeds().size();
        out.printf("%n%d sound runs of each arm; medians, differences from %s%n", runs, results.baseline());
        int minimumPairs = Comparison.minimumPairs(results.confidence());
        if (runs < minimumPairs) {
            out.printf("intervals at %.0f%% need %d pairs%n", 100 * results.confidence(), minimumPairs);
        }
        for (Figure figure : Figure.values()) {
            out.printf("%n%s%n", figure.label());
            for (String arm : results.arms()) {
                printRow(results, arm, figure, out);
            }
        }
    }

    private static void printRow(ExperimentResults results, String arm, Figure figure, PrintStream out) {
        ConfidenceInterval median = results.median(arm, figure);
        out.printf(Locale.ROOT, "  %-16s %10.2f  [%.2f, %.2f]", arm, median.median(), median.low(),
                median.high());
        if (!results.isBaseline(arm)) {
            ConfidenceInterval difference = results.medianDifference(arm, figure);
            out.printf(Locale.ROOT, "   by %.2f [%.2f, %.2f] %s", difference.median(), difference.low(),
                    difference.high(), difference.differenceVerdict());
        }
        out.println();
    }
}
