package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/**
 * What the dispatchers of a plan carry: the rate at which added time passes its bound, and what comes beyond
 * it.
 */
final class CapacitySearch {
    private static final double FINISHED = 0.99;        // of the tasks: less is not carried, however quick
    private static final int[] TIMES = {1, 2, 4};

    private final Path file;
    private final String arm;
    private final FleetPlan plan;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses children = new ChildProcesses();
    private final ArrayNode rows;
    private final ObjectNode root = new ObjectMapper().createObjectNode();

    /** Arm: of the file, or null. */
    CapacitySearch(Path file, String arm, FleetPlan plan, Path folder, PrintStream out) {
        this.file = file;
        this.arm = arm;
        this.plan = plan;
        this.folder = folder;
        this.out = out;
        rows = root.putArray("runs");
    }

    /** Status 0; 1 where a rule was broken. */
    int run() throws IOException, InterruptedException {
        out.printf("%10s %12s %10s %10s %10s %10s %9s%n", "tasks/s", "finished/s", "added p50", "added p99",
                "latency p99", "CPU a try", "bounced");
        RateSearch climb =
                new RateSearch(plan.arrivals().rate(), plan.ladder().most(), plan.ladder().narrow());
        boolean kept = true;
        while (climb.next() > 0) {
            RunOutcome o = play(climb.next());
            kept &= o.verdict.kept();
            // A late tool can only have made it look worse: a good run counts though it is void, a bad one is
            // played twice.
            climb.told(o.all("added").getValueAtPercentile(99) <= plan.ladder().bound().micros()
                    && o.sum("finished") >= FINISHED * o.sum("tasks"));
        }
        root.put("carried", climb.carried());
        out.printf(Locale.ROOT, "carried: %.0f tasks/s with a 99th percentile of added time up to %.1f ms%n",
                climb.carried(), plan.ladder().bound().millis());
        for (int times : climb.carried() > 0 ? TIMES : new int[0]) {
            kept &= play(climb.carried() * times).verdict.kept();
        }
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(folder.resolve("ladder.json").toFile(),
                root);
        return kept ? 0 : 1;
    }

    private RunOutcome play(double rate) throws IOException, InterruptedException {
        String whole = String.format(Locale.ROOT, "%.0f", rate);
        Path place = Files.createDirectories(folder.resolve(whole + "-" + rows.size()));
        // The same file with another rate, so that whoever finds it in the folder can play it again.
        List<String> lines = new ArrayList<>(Files.readAllLines(file));
        StringBuilder set = new StringBuilder("set = { ");
        plan.arms().stream().filter(a -> a.name().equals(arm) && a.set() != null).findFirst().ifPresent(
                a -> a.set().fields().forEachRemaining(f -> set.append('"').append(f.getKey()).append("\" = ")
                        .append(f.getValue()).append(", ")));
        lines.addAll(
                List.of("", "[[arm]]", "name = \"rung\"", set + "\"arrivals.rate\" = " + whole + ".0 }"));
        Path rung = Files.write(place.resolve("rung.toml"), lines);
        FleetPlan one = FleetPlanReader.read(rung, "rung");
        RunOutcome o = new FleetRun(children, one, rung, "rung", plan.seed(), place, l -> {}).play();
        out.printf(Locale.ROOT, "%10s %12.0f %10.2f %10.2f %10.2f %10.0f %8.1f%%%s%s%n", whole,
                o.sum("finished") / o.seconds, o.all("added").getValueAtPercentile(50) / 1000.0,
                o.all("added").getValueAtPercentile(99) / 1000.0,
                o.all("latency").getValueAtPercentile(99) / 1000.0,
                o.figures().get("CPU a try, us"), o.figures().get("bounced, %"),
                o.verdict.kept() ? "" : "  A RULE BROKE",
                o.isVoid() ? String.format(Locale.ROOT, "  %.1f%% sent late, the host took %.0f%%",
                        100 * o.lateShare, 100 * o.costs.stolen()) : "");
        rows.add(o.json().put("rate", rate));
        if (o.verdict.kept()) {
            Experiment.dropLedgers(place);
        }
        return o;
    }
}
