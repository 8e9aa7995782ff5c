package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import rampshift.testbed.verification.Verdict;

/** Formats the outcome of a run as JSON for result files. */
final class OutcomeJson {
    private OutcomeJson() {}

    /** Returns a new object with the whole outcome. */
    static ObjectNode of(RunOutcome outcome) {
        LoadResults load = outcome.load();
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("void", outcome.isVoid()).put("late_share", load.lateShare())
                .put("stolen", outcome.costs().stolenShare()).put("sent", load.sentRequests())
                .put("opened", load.openedConnections()).put("idle_lost", load.lostIdleConnections());
        ObjectNode figures = root.putObject("figures");
        for (Figure figure : Figure.values()) {
            figures.put(figure.label(), figure.of(outcome));
        }
        addTypes(root.putObject("types"), load);
        addCosts(root, outcome.costs());
        addRules(root.putArray("rules"), outcome.verdict());
        return root;
    }

    private static void addTypes(ObjectNode types, LoadResults load) {
        load.countsByType().forEach((name, counts) -> {
            ObjectNode type = types.putObject(name);
            counts.write(type);
            Histogram latency = load.histogram(LatencyKind.LATENCY, name);
            if (latency != null) {
                type.put("p50_us", latency.getValueAtPercentile(50))
                        .put("p99_us", latency.getValueAtPercentile(99))
                        .put("p999_us", latency.getValueAtPercentile(99.9));
            }
        });
    }

    private static void addCosts(ObjectNode root, RunCosts costs) {
        ArrayNode cpuSeconds = root.putArray("cpu_seconds");
        costs.cpuSeconds().forEach(cpuSeconds::add);
        ArrayNode residentKb = root.putArray("resident_kb");
        costs.residentKb().forEach(residentKb::add);
    }

    private static void addRules(ArrayNode rules, Verdict verdict) {
        for (Verdict.Rule rule : verdict.rules()) {
            ArrayNode examples = rules.addObject().put("rule", rule.name()).put("at_stake", rule.cases())
                    .put("broken", rule.breaches()).putArray("examples");
            rule.examples().forEach(examples::add);
        }
    }
}
