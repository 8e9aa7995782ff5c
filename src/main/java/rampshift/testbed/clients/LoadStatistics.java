package rampshift.testbed.clients;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/** What one load process counts: by traffic type and by second, and full histograms in microseconds. */
final class LoadStatistics {
    /** How a try ended, as its client saw it. */
    enum End {
        FINISHED, BOUNCED, ABANDONED, TURNED_DOWN, BROKEN, UNREACHABLE, NO_ANSWER
    }

    private static final long LONGEST_US = 120_000_000;

    private final FleetPlan plan;
    private final long[][] ends;
    private final long[] tasks;
    private final long[] inTime;
    private final double[] asked;
    private final double[] earned;
    private final List<double[]> seconds = new ArrayList<>();
    private final Histogram[] latency;
    private final Histogram[] added;
    private final Histogram bounces = new Histogram(LONGEST_US, 3);
    private final Histogram late = new Histogram(LONGEST_US, 3);
    long opened;
    long idleLost;

    LoadStatistics(FleetPlan plan) {
        this.plan = plan;
        int types = plan.types().size();
        ends = new long[types][End.values().length];
        tasks = new long[types];
        inTime = new long[types];
        asked = new double[types];
        earned = new double[types];
        latency = new Histogram[types];
        added = new Histogram[types];
        for (int i = 0; i < types; i++) {
            latency[i] = new Histogram(LONGEST_US, 3);
            added[i] = new Histogram(LONGEST_US, 3);
        }
    }

    private static void record(Histogram in, long micros) {
        in.recordValue(Math.max(0, Math.min(LONGEST_US, micros)));
    }

    /** Of each second: asked, earned, sent, finished, bounced, not answered well. */
    private double[] second(Span at) {
        int second = (int) Math.max(0, at.micros() / 1_000_000);
        while (seconds.size() <= second) {
            seconds.add(new double[6]);
        }
        return seconds.get(second);
    }

    void task(int type, Span at) {
        tasks[type]++;
        asked[type] += plan.types().get(type).earnings();
        second(at)[0] += plan.types().get(type).earnings();
    }

    void sent(Span at, Span lateBy) {
        second(at)[2]++;
        record(late, lateBy.micros());
    }

    /** A task has come to a good end. Since its client first wanted to send it. */
    void earns(int type, Span at, Span since, Span dueIn) {
        FleetPlan.Type row = plan.types().get(type);
        boolean good = !since.longerThan(dueIn);
        inTime[type] += good ? 1 : 0;
        double worth = good ? row.earnings() : row.earnings() * row.lateEarnings();
        earned[type] += worth;
        second(at)[1] += worth;
    }

    /** Took: at the worker, or below 0 where that is not known. */
    void ended(int type, End end, Span at, Span latencySpan, long tookMicros) {
        ends[type][end.ordinal()]++;
        switch (end) {
            case FINISHED -> {
                second(at)[3]++;
                record(latency[type], latencySpan.micros());
                if (tookMicros >= 0) {
                    record(added[type], latencySpan.micros() - tookMicros);
                }
            }
            case BOUNCED -> {
                second(at)[4]++;
                record(bounces, latencySpan.micros());
            }
            default -> second(at)[5]++;
        }
    }

    long count(End end) {
        long sum = 0;
        for (long[] type : ends) {
            sum += type[end.ordinal()];
        }
        return sum;
    }

    long sent() {
        return late.getTotalCount();
    }

    /** Share of the sends that were later than allowed. */
    double lateShare() {
        long all = late.getTotalCount();
        long most = plan.clients().mostLate().micros();
        return all == 0 ? 0 : (all - late.getCountBetweenValues(0, most)) / (double) all;
    }

    double earnedShare() {
        double a = 0;
        double e = 0;
        for (int i = 0; i < asked.length; i++) {
            a += asked[i];
            e += earned[i];
        }
        return a == 0 ? 1 : e / a;
    }

    void write(Path json, Path log) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        ObjectNode types = root.putObject("types");
        for (int i = 0; i < plan.types().size(); i++) {
            ObjectNode type = types.putObject(plan.types().get(i).name());
            type.put("tasks", tasks[i]).put("in_time", inTime[i]).put("asked", asked[i]).put("earned",
                    earned[i]);
            for (End end : End.values()) {
                type.put(end.name().toLowerCase(java.util.Locale.ROOT), ends[i][end.ordinal()]);
            }
        }
        ArrayNode rows = root.putArray("seconds");
        for (double[] second : seconds) {
            ArrayNode row = rows.addArray();
            for (double figure : second) {
                row.add(figure);
            }
        }
        root.put("sent", sent()).put("late_share", lateShare()).put("opened", opened).put("idle_lost",
                idleLost);
        mapper.writeValue(json.toFile(), root);
        histograms(log);
    }

    private void histograms(Path log) throws FileNotFoundException {
        HistogramLogWriter out = new HistogramLogWriter(log.toFile());
        try {
            out.outputLogFormatVersion();
            for (int i = 0; i < latency.length; i++) {
                one(out, "latency." + plan.types().get(i).name(), latency[i]);
                one(out, "added." + plan.types().get(i).name(), added[i]);
            }
            one(out, "bounces", bounces);
            one(out, "late", late);
        } finally {
            out.close();
        }
    }

    private static void one(HistogramLogWriter out, String tag, Histogram histogram) {
        histogram.setTag(tag);
        histogram.setStartTimeStamp(0);
        histogram.setEndTimeStamp(1);
        out.outputIntervalHistogram(histogram);
    }
}
