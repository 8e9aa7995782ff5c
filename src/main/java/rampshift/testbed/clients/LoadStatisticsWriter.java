package rampshift.testbed.clients;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** Writes the statistics files of a load process, from which reports are generated after the run. */
final class LoadStatisticsWriter {
    private final LoadStatistics statistics;

    LoadStatisticsWriter(LoadStatistics statistics) {
        this.statistics = statistics;
    }

    /**
     * Writes all counts as a JSON object.
     *
     * @param file the file to write or replace
     * @throws IOException if the file cannot be written
     */
    void writeCounts(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ObjectNode types = root.putObject("types");
        for (TypeStatistics type : statistics.types()) {
            putCounts(types.putObject(type.name()), type);
        }
        ArrayNode seconds = root.putArray("seconds");
        for (SecondStatistics second : statistics.seconds()) {
            ArrayNode row = seconds.addArray();
            for (double value : second.row()) {
                row.add(value);
            }
        }
        root.put("sent", statistics.sentCount());
        root.put("late_share", statistics.lateShare());
        root.put("opened", statistics.openedConnections());
        root.put("idle_lost", statistics.lostIdleConnections());
        mapper.writeValue(file.toFile(), root);
    }

    private static void putCounts(ObjectNode node, TypeStatistics type) {
        node.put("tasks", type.taskCount());
        node.put("in_time", type.inTimeCount());
        node.put("asked", type.offeredEarnings());
        node.put("earned", type.earnings());
        for (ClientOutcome outcome : ClientOutcome.values()) {
            node.put(outcome.fieldName(), type.count(outcome));
        }
    }

    /**
     * Writes all histograms in HdrHistogram's log format, distinguished by their tags.
     *
     * @param file the file to write or replace
     * @throws IOException if the file cannot be opened
     */
    void writeHistograms(Path file) throws IOException {
        HistogramLogWriter writer = new HistogramLogWriter(file.toFile());
        try {
            writer.outputLogFormatVersion();
            for (TypeStatistics type : statistics.types()) {
                write(writer, "latency." + type.name(), type.latency());
                write(writer, "added." + type.name(), type.addedLatency());
            }
            write(writer, "bounces", statistics.rejectionLatency());
            write(writer, "late", statistics.sendDelay());
        } finally {
            writer.close();
        }
    }

    private static void write(HistogramLogWriter writer, String tag, Histogram histogram) {
        histogram.setTag(tag);
        histogram.setStartTimeStamp(0);
        histogram.setEndTimeStamp(1);
        writer.outputIntervalHistogram(histogram);
    }
}
