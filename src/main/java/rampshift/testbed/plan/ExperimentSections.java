package rampshift.testbed.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads the tables of a fleet file that define what an experiment compares and how often it runs. */
final class ExperimentSections {
    private static final int MAX_FIRST_SEED = 1_000_000;

    private ExperimentSections() {}

    static FleetPlan.Trials trials(TomlTable table) {
        int pairs = table.integer("pairs", 1, 1000, 6);
        long firstSeed = table.integer("first_seed", 0, MAX_FIRST_SEED, 1);
        List<Long> seeds = LongStream.range(firstSeed, firstSeed + pairs).boxed().toList();
        FleetPlan.Trials trials = new FleetPlan.Trials(
                seeds,
                table.number("confidence", 0.5, 0.999, 0.95),
                table.span("settle", Span.ofMillis(1000)));
        table.rejectUnknownKeys();
        return trials;
    }

    static FleetPlan.Ladder ladder(TomlTable table) {
        FleetPlan.Ladder ladder = new FleetPlan.Ladder(
                table.span("bound", Span.ofMillis(2)),
                table.number("most", 1, 1e6, 20_000),
                table.number("narrow", 0.01, 1, 0.1));
        table.rejectUnknownKeys();
        return ladder;
    }

    static List<FleetPlan.Arm> arms(TomlTable top) {
        List<FleetPlan.Arm> arms = new ArrayList<>();
        for (TomlTable table : top.tables("arm")) {
            FleetPlan.Arm arm = new FleetPlan.Arm(table.name("name"), table.node("set"));
            if (arms.stream().anyMatch(other -> other.name().equals(arm.name()))) {
                table.fault("name", "is \"" + arm.name() + "\", which is also the name of another arm");
            }
            table.rejectUnknownKeys();
            arms.add(arm);
        }
        return arms;
    }
}
