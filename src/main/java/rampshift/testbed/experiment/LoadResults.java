package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;

/** The counts and measurements of the clients of all load processes of a run. */
final class LoadResults {
    private static final long MAX_LATENCY_US = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, TrafficCounts> countsByType = new LinkedHashMap<>();
    private final List<EarningsInSecond> earningsBySecond = new ArrayList<>();
    /** Durations in microseconds, by the tag in the histogram log. */
    private final Map<String, Histogram> histogramsByTag = new TreeMap<>();
    private double lateShare;
    private long openedConnections;
    private long lostIdleConnections;
    private long sentRequests;

    private LoadResults() {}

    /**
     * Reads the files of all load processes.
     *
     * @throws IOException if a file is missing or malformed
     */
    static LoadResults read(RunFolder folder, int processes) throws IOException {
        LoadResults results = new LoadResults();
        ObjectMapper mapper = new ObjectMapper();
        for (int process = 0; process < processes; process++) {
            results.addCounts(mapper.readTree(folder.loadCounts(process).toFile()));
            results.addHistograms(folder.loadHistograms(process));
        }
        return results;
    }

    /** Returns an empty histogram for durations in microseconds, up to 120 s. */
    static Histogram emptyHistogram() {
        return new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    }

    private void addCounts(JsonNode counts) {
        counts.path("types").fields().forEachRemaining(type -> countsByType.merge(type.getKey(),
                TrafficCounts.read(type.getValue()), TrafficCounts::plus));
        JsonNode seconds = counts.path("seconds");
        for (int second = 0; second < seconds.size(); second++) {
            if (second == earningsBySecond.size()) {
                earningsBySecond.add(EarningsInSecond.NONE);
            }
            EarningsInSecond sum =
                    earningsBySecond.get(second).plus(EarningsInSecond.read(seconds.get(second)));
            earningsBySecond.set(second, sum);
        }
        lateShare = Math.max(lateShare, counts.path("late_share").doubleValue());
        openedConnections += counts.path("opened").longValue();
        lostIdleConnections += counts.path("idle_lost").longValue();
        sentRequests += counts.path("sent").longValue();
    }

    private void addHistograms(Path log) throws IOException {
        try (HistogramLogReader reader = new HistogramLogReader(log.toFile())) {
            EncodableHistogram next = reader.nextIntervalHistogram();
            while (next != null) {
                addHistogram((Histogram) next);
                next = reader.nextIntervalHistogram();
            }
        }
    }

    private void addHistogram(Histogram histogram) {
        Histogram sum = histogramsByTag.get(histogram.getTag());
        if (sum == null) {
            histogramsByTag.put(histogram.getTag(), histogram);
        } else {
            sum.add(histogram);
        }
    }

    /** Returns the counts by the name of the traffic type, in the order of the plan. */
    Map<String, TrafficCounts> countsByType() {
        return Collections.unmodifiableMap(countsByType);
    }

    /** Returns the counts of all traffic types together. */
    TrafficCounts totalCounts() {
        return TrafficCounts.sum(countsByType.values());
    }

    /** Returns the earnings of each second since the start of the run. */
    List<EarningsInSecond> earningsBySecond() {
        return Collections.unmodifiableList(earningsBySecond);
    }

    /** Returns the durations of one traffic type in microseconds; null if none were recorded. */
    Histogram histogram(LatencyKind kind, String trafficType) {
        return histogramsByTag.get(kind.tag(trafficType));
    }

    /** Returns the durations of all traffic types together, in microseconds. */
    Histogram totalHistogram(LatencyKind kind) {
        Histogram sum = emptyHistogram();
        histogramsByTag.forEach((tag, histogram) -> {
            if (kind.matches(tag)) {
                sum.add(histogram);
            }
        });
        return sum;
    }

    /** Returns the highest share, over all load processes, of requests that were sent too late, 0 to 1. */
    double lateShare() {
        return lateShare;
    }

    /** Returns the number of connections that clients opened. */
    long openedConnections() {
        return openedConnections;
    }

    /** Returns the number of connections closed by dispatchers that were meant to stay idle. */
    long lostIdleConnections() {
        return lostIdleConnections;
    }

    /** Returns the number of requests sent for tasks after the warm-up, including retries. */
    long sentRequests() {
        return sentRequests;
    }
}
