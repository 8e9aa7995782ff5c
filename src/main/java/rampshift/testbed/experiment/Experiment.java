package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/**
 * Arms against one another: each seed once with each arm, in turn, so that the machine's moods befall both.
 */
final class Experiment {
    /** A run that came to be void is played again so often, then its seed is left out. */
    private static final int AGAIN = 1;

    private final Path file;
    private final FleetPlan plan;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses children = new ChildProcesses();
    private final Map<String, FleetPlan> arms = new LinkedHashMap<>();
    /** By arm: the runs by seed, null for one left out. */
    final Map<String, Map<Long, RunOutcome>> runs = new LinkedHashMap<>();

    /** All arms are read before the first run: a fault in the last one is told at once. */
    Experiment(Path file, FleetPlan plan, Path folder, PrintStream out) {
        this.file = file;
        this.plan = plan;
        this.folder = folder;
        this.out = out;
        if (plan.arms().isEmpty()) {
            arms.put("as it is", plan);
        }
        for (FleetPlan.Arm arm : plan.arms()) {
            arms.put(arm.name(), FleetPlanReader.read(file, arm.name()));
        }
        arms.keySet().forEach(a -> runs.put(a, new LinkedHashMap<>()));
    }

    /** Status 0; 1 where a rule was broken; 3 where no pair of sound runs is left. */
    int run() throws IOException, InterruptedException {
        List<String> names = new ArrayList<>(arms.keySet());
        int turn = 0;
        for (long seed : plan.trials().seeds()) {
            for (int i = 0; i < names.size(); i++) {
                String arm = names.get((i + turn) % names.size());
                runs.get(arm).put(seed, one(arm, seed));
            }
            turn++;
        }
        List<Long> sound = sound();
        ObjectNode result = result(sound);
        Path json = folder.resolve("result.json");
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(json.toFile(), result);
        Path report = folder.resolve("report.html");
        Files.writeString(report, new Report(this, plan, sound).html());
        print(sound);
        out.println("\n" + report + "\n" + json);
        boolean kept =
                runs.values().stream().flatMap(m -> m.values().stream()).allMatch(o -> o.verdict.kept());
        return sound.isEmpty() ? 3 : kept ? 0 : 1;
    }

    private RunOutcome one(String arm, long seed) throws IOException, InterruptedException {
        RunOutcome outcome = null;
        for (int i = 0; i <= AGAIN && (outcome == null || outcome.isVoid()); i++) {
            Path place = folder.resolve(arm.replace(' ', '-') + "-" + seed + (i == 0 ? "" : "-again"));
            outcome =
                    new FleetRun(children, arms.get(arm), file, plan.arms().isEmpty() ? null : arm, seed,
                            place,
                            line -> {}).play();
            out.printf(Locale.ROOT,
                    "%-16s seed %3d  earnings served %5.1f%%  finished/s %8.1f  added p99 %8.2f ms%s%s%n",
                    arm, seed, 100 * outcome.earningsServed(), outcome.sum("finished") / outcome.seconds,
                    outcome.all("added").getValueAtPercentile(99) / 1000.0,
                    outcome.verdict.kept() ? "" : "  A RULE BROKE",
                    outcome.isVoid()
                            ? String.format(Locale.ROOT, "  void: %.1f%% sent late, the host took %.0f%%",
                                    100 * outcome.lateShare, 100 * outcome.costs.stolen())
                            : "");
            if (outcome.verdict.kept()) {
                dropLedgers(place);     // hundreds of MB in a large one
            }
        }
        return outcome;
    }

    static void dropLedgers(Path place) throws IOException {
        try (Stream<Path> files = Files.list(place)) {
            for (Path one : files.filter(f -> f.toString().endsWith(".ledger")).toList()) {
                Files.delete(one);
            }
        }
    }

    /** The seeds with which no arm's run is void. */
    private List<Long> sound() {
        return plan.trials().seeds().stream()
                .filter(s -> runs.values().stream().noneMatch(m -> m.get(s).isVoid())).toList();
    }

    double[] figures(String arm, String figure, List<Long> seeds) {
        return seeds.stream().mapToDouble(s -> runs.get(arm).get(s).figures().get(figure)).toArray();
    }

    List<String> figureNames() {
        return new ArrayList<>(runs.values().iterator().next().values().iterator().next().figures().keySet());
    }

    String first() {
        return arms.keySet().iterator().next();
    }

    /** What is said of a difference; pure words, the same in the table, the report and the result. */
    static String verdict(Comparison.Interval d) {
        return Double.isNaN(d.low()) ? "too few pairs"
                : d.withoutZero() ? "different" : "no difference shown";
    }

    private ObjectNode result(List<Long> sound) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("file", file.getFileName().toString()).put("confidence", plan.trials().confidence());
        ArrayNode seeds = root.putArray("seeds");
        sound.forEach(seeds::add);
        ObjectNode all = root.putObject("runs");
        runs.forEach((arm, bySeed) -> {
            ObjectNode mine = all.putObject(arm);
            bySeed.forEach((seed, o) -> mine.set(String.valueOf(seed), o.json()));
        });
        ObjectNode medians = root.putObject("medians");
        ObjectNode differences = root.putObject("differences");
        for (String arm : runs.keySet()) {
            ObjectNode mine = medians.putObject(arm);
            ObjectNode against = arm.equals(first()) ? null : differences.putObject(arm);
            for (String figure : figureNames()) {
                put(mine, figure, Comparison.of(figures(arm, figure, sound), plan.trials().confidence()));
                if (against != null) {
                    Comparison.Interval d = difference(arm, figure, sound);
                    put(against, figure, d).put("verdict", verdict(d));
                }
            }
        }
        return root;
    }

    Comparison.Interval difference(String arm, String figure, List<Long> sound) {
        return Comparison.differences(figures(first(), figure, sound), figures(arm, figure, sound),
                plan.trials().confidence());
    }

    private static ObjectNode put(ObjectNode in, String name, Comparison.Interval i) {
        return in.putObject(name).put("median", i.median()).put("low", i.low()).put("high", i.high())
                .put("confidence", i.confidence());
    }

    private void print(List<Long> sound) {
        out.printf("%n%d sound runs of each arm; medians, differences from %s%n", sound.size(), first());
        if (sound.size() < Comparison.fewest(plan.trials().confidence())) {
            out.printf("intervals at %.0f%% need %d pairs%n", 100 * plan.trials().confidence(),
                    Comparison.fewest(plan.trials().confidence()));
        }
        for (String figure : figureNames()) {
            out.printf("%n%s%n", figure);
            for (String arm : runs.keySet()) {
                Comparison.Interval m =
                        Comparison.of(figures(arm, figure, sound), plan.trials().confidence());
                out.printf(Locale.ROOT, "  %-16s %10.2f  [%.2f, %.2f]", arm, m.median(), m.low(), m.high());
                if (!arm.equals(first())) {
                    Comparison.Interval d = difference(arm, figure, sound);
                    out.printf(Locale.ROOT, "   by %.2f [%.2f, %.2f] %s", d.median(), d.low(), d.high(),
                            verdict(d));
                }
                out.println();
            }
        }
    }
}
