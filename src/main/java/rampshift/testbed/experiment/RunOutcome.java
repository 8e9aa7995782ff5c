package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.RuleChecker;
import rampshift.testbed.verification.Verdict;
import rampshift.time.Moment;

/**
 * What came of a run: the clients' counts and histograms of all processes together, costs, and the verdict.
 */
final class RunOutcome {
    /** The simulator's limits, 50 ms longer on sockets. */
    private static final long SLACK_US = 50_000;
    /** More than one send in a hundred late: the tool has measured itself. */
    private static final double MOST_LATE = 0.01;
    static final List<String> ENDS = List.of("finished", "bounced", "abandoned", "turned_down", "broken",
            "unreachable", "no_answer");

    /**
     * Of each dispatcher: CPU seconds under load, and resident memory in KB at its end. Stolen: of the time
     * in which
     * this machine's cores wanted to work, the share in which its host gave them to others.
     */
    record Costs(List<Double> cpuSeconds, List<Long> residentKb, double stolen) {}

    final Verdict verdict;
    final Costs costs;
    final double seconds;
    /** By traffic type: tasks, in_time, asked, earned, and the final answers by kind. */
    final Map<String, Map<String, Double>> types = new LinkedHashMap<>();
    /** Of each second: asked, earned, sent, finished, bounced, others. */
    final List<double[]> series = new ArrayList<>();
    final Map<String, Histogram> histograms = new TreeMap<>();
    final double zeroSecond;
    double lateShare;
    long opened;
    long idleLost;
    long sent;

    private RunOutcome(FleetPlan plan, Verdict verdict, Costs costs, Moment zero) {
        this.verdict = verdict;
        this.costs = costs;
        seconds = plan.length().minus(plan.clients().warmUp()).millis() / 1000;
        zeroSecond = (zero.micros() - verdict.fromMicros()) / 1e6;
    }

    static RunOutcome read(FleetPlan plan, Path folder, Costs costs, Moment zero) throws IOException {
        RunOutcome o = new RunOutcome(plan, judge(plan, folder), costs, zero);
        for (int p = 0; p < plan.clients().processes(); p++) {
            o.add(new ObjectMapper().readTree(folder.resolve("load-" + p + ".json").toFile()));
            o.add(folder.resolve("load-" + p + ".hlog"));
        }
        return o;
    }

    /** Judges all ledgers of a folder. */
    static Verdict judge(FleetPlan plan, Path folder) throws IOException {
        RuleChecker judge =
                new RuleChecker(plan.roster().grace().micros(), SLACK_US, plan.members().knownBy().micros(),
                        plan.members().agreeBy().micros());
        List<Path> ledgers;
        try (Stream<Path> files = Files.list(folder)) {
            ledgers = files.filter(f -> f.toString().endsWith(".ledger")).sorted().toList();
        }
        for (Path ledger : ledgers) {
            try (BufferedReader in = Files.newBufferedReader(ledger)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    judge.line(line);
                }
            }
        }
        return judge.verdict();
    }

    private void add(JsonNode load) {
        load.path("types").fields().forEachRemaining(t -> {
            Map<String, Double> row = types.computeIfAbsent(t.getKey(), k -> new LinkedHashMap<>());
            t.getValue().fields()
                    .forEachRemaining(f -> row.merge(f.getKey(), f.getValue().doubleValue(), Double::sum));
        });
        JsonNode rows = load.path("seconds");
        for (int i = 0; i < rows.size(); i++) {
            if (i == series.size()) {
                series.add(new double[6]);
            }
            for (int f = 0; f < 6; f++) {
                series.get(i)[f] += rows.get(i).get(f).doubleValue();
            }
        }
        lateShare = Math.max(lateShare, load.path("late_share").doubleValue());
        opened += load.path("opened").longValue();
        idleLost += load.path("idle_lost").longValue();
        sent += load.path("sent").longValue();
    }

    private void add(Path log) throws IOException {
        try (HistogramLogReader in = new HistogramLogReader(log.toFile())) {
            for (var h = in.nextIntervalHistogram(); h != null; h = in.nextIntervalHistogram()) {
                Histogram one = (Histogram) h;
                Histogram sum = histograms.get(one.getTag());
                if (sum == null) {
                    histograms.put(one.getTag(), one);
                } else {
                    sum.add(one);
                }
            }
        }
    }

    boolean isVoid() {
        return lateShare > MOST_LATE;
    }

    double sum(String field) {
        return types.values().stream().mapToDouble(t -> t.getOrDefault(field, 0.0)).sum();
    }

    double earningsServed() {
        return sum("asked") == 0 ? 1 : sum("earned") / sum("asked");
    }

    /** All traffic types together; kind is latency or added. */
    Histogram all(String kind) {
        Histogram sum = new Histogram(120_000_000, 3);
        histograms.forEach((tag, h) -> {
            if (tag.startsWith(kind + ".")) {
                sum.add(h);
            }
        });
        return sum;
    }

    double cpu() {
        return costs.cpuSeconds().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** The figures that arms are compared by. */
    Map<String, Double> figures() {
        Map<String, Double> f = new LinkedHashMap<>();
        double ended = Math.max(1, ENDS.stream().mapToDouble(this::sum).sum());
        f.put("earnings served, %", 100 * earningsServed());
        f.put("finished a second", sum("finished") / seconds);
        f.put("bounced, %", 100 * sum("bounced") / ended);
        f.put("latency p50, ms", all("latency").getValueAtPercentile(50) / 1000.0);
        f.put("latency p99, ms", all("latency").getValueAtPercentile(99) / 1000.0);
        f.put("added p50, ms", all("added").getValueAtPercentile(50) / 1000.0);
        f.put("added p99, ms", all("added").getValueAtPercentile(99) / 1000.0);
        f.put("CPU a try, us", 1e6 * cpu() / Math.max(1, sent));
        f.put("copies, % of tries", 100.0 * verdict.copies() / Math.max(1, verdict.tasks()));
        f.put("last send after a drain, ms", verdict.lastSendMs());
        f.put("resident MB", costs.residentKb().stream().mapToLong(Long::longValue).max().orElse(0) / 1024.0);
        return f;
    }

    ObjectNode json() {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("void", isVoid()).put("late_share", lateShare).put("stolen", costs.stolen())
                .put("sent", sent).put("opened", opened)
                .put("idle_lost", idleLost);
        ObjectNode figures = root.putObject("figures");
        figures().forEach(figures::put);
        ObjectNode byType = root.putObject("types");
        types.forEach((name, row) -> {
            ObjectNode type = byType.putObject(name);
            row.forEach(type::put);
            Histogram h = histograms.get("latency." + name);
            if (h != null) {
                type.put("p50_us", h.getValueAtPercentile(50)).put("p99_us", h.getValueAtPercentile(99))
                        .put("p999_us", h.getValueAtPercentile(99.9));
            }
        });
        ArrayNode cpu = root.putArray("cpu_seconds");
        costs.cpuSeconds().forEach(cpu::add);
        ArrayNode memory = root.putArray("resident_kb");
        costs.residentKb().forEach(memory::add);
        ArrayNode rules = root.putArray("rules");
        for (Verdict.Rule rule : verdict.rules()) {
            ArrayNode examples = rules.addObject().put("rule", rule.name()).put("at_stake", rule.atStake())
                    .put("broken", rule.broken()).putArray("examples");
            rule.examples().forEach(examples::add);
        }
        return root;
    }
}
