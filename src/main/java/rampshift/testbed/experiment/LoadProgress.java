package rampshift.testbed.experiment;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import rampshift.time.Span;

/**
 * The progress of a load process, parsed from a line that the process prints while it runs.
 *
 * @param sent attempts sent so far
 * @param finished attempts that finished
 * @param rejected attempts that were rejected
 * @param failed attempts that failed, timed out or could not be sent
 * @param servedEarningsShare the share of the possible earnings that were earned, 0 to 1
 */
record LoadProgress(double sent, double finished, double rejected, double failed,
        double servedEarningsShare) {

    private static final String PREFIX = "progress ";
    private static final int MIN_FIELDS = 5;
    private static final double MS_PER_SECOND = 1000;

    /** Parses a line of output; returns empty unless it is a complete progress line. */
    static Optional<LoadProgress> parse(String line) {
        if (!line.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String[] fields = line.substring(PREFIX.length()).split(" ");
        if (fields.length < MIN_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LoadProgress(Double.parseDouble(fields[0]), Double.parseDouble(fields[1]),
                    Double.parseDouble(fields[2]), Double.parseDouble(fields[3]),
                    Double.parseDouble(fields[4])));
        } catch (NumberFormatException e) {
            return Optional.empty(); // The process was killed while it wrote the line.
        }
    }

    /** Returns one line of readable progress of all load processes together. */
    static String describe(Span sinceStart, Collection<LoadProgress> processes) {
        double earningsShare =
                sum(processes, LoadProgress::servedEarningsShare) / Math.max(1, processes.size());
        return String.format(Locale.ROOT,
                "%5.1f s  sent %6.0f  finished %6.0f  bounced %5.0f  others %4.0f  earnings served %5.1f%%",
                sinceStart.millis() / MS_PER_SECOND, sum(processes, LoadProgress::sent),
                sum(processes, LoadProgress::finished), sum(processes, LoadProgress::rejected),
                sum(processes, LoadProgress::failed), 100 * earningsShare);
    }

    private static double sum(Collection<LoadProgress> processes, ToDoubleFunction<LoadProgress> field) {
        return processes.stream().mapToDouble(field).sum();
    }
}
