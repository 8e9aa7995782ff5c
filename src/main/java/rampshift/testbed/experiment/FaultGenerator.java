package rampshift.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;

/**
 * Generates random faults of the dispatchers of a plan and of the links between them. The same seed gives the
 * same faults, so the order of the random draws must not change.
 */
final class FaultGenerator {
    private static final String RANDOM_STREAM = "together";
    private static final int MAX_FAULTS = 5;
    private static final int FAULT_KIND_COUNT = 11;
    /** One out of this number of link faults affects the links to all peers. */
    private static final int ALL_PEERS_ONE_IN = 3;
    // Shares of the run's length. The time after the last fault lets the views of all dispatchers converge.
    private static final double FIRST_START_SHARE = 0.1;
    private static final double LAST_END_SHARE = 0.6;
    /** The share of the time between the first start and the last end in which faults start. */
    private static final double START_RANGE_SHARE = 0.8;
    private static final double MAX_LENGTH_SHARE = 0.25;
    private static final double MIN_LENGTH_MS = 100;

    private final FleetPlan plan;

    FaultGenerator(FleetPlan plan) {
        this.plan = plan;
    }

    /** The candidate targets of a fault. All are drawn for each fault; its kind determines which are used. */
    private record Targets(String dispatcher, String link, String site) {
        String dispatcherNames() {
            return names(dispatcher);
        }

        String linkNames() {
            return names(link);
        }

        private static String names(String name) {
            return "names = [\"" + name + "\"]\n";
        }
    }

    /** Generates 1 to 5 faults. */
    List<FaultSection> generate(long seed) {
        UniformRandomProvider random = RandomStreams.of(seed, RANDOM_STREAM);
        int count = 1 + random.nextInt(MAX_FAULTS);
        List<FaultSection> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(drawFault(random));
        }
        return faults;
    }

    private FaultSection drawFault(UniformRandomProvider random) {
        double runMs = plan.length().millis();
        double startMs = runMs * (FIRST_START_SHARE
                + (LAST_END_SHARE - FIRST_START_SHARE) * START_RANGE_SHARE * random.nextDouble());
        double maxLengthMs = Math.min(runMs * MAX_LENGTH_SHARE, runMs * LAST_END_SHARE - startMs);
        double lengthMs = Math.max(MIN_LENGTH_MS, maxLengthMs * random.nextDouble());
        Targets targets = drawTargets(random);
        return fault(random.nextInt(FAULT_KIND_COUNT), targets, startMs, lengthMs);
    }

    private Targets drawTargets(UniformRandomProvider random) {
        int dispatchers = plan.dispatcherCount();
        String dispatcher = RunFolder.dispatcherName(random.nextInt(dispatchers));
        int from = random.nextInt(dispatchers);
        int to = (from + 1 + random.nextInt(Math.max(1, dispatchers - 1))) % dispatchers;
        String direction = random.nextBoolean() ? ">" : "=";
        String peer = random.nextInt(ALL_PEERS_ONE_IN) == 0 ? "*" : RunFolder.dispatcherName(to);
        String link = RunFolder.dispatcherName(from) + direction + peer;
        String site = plan.sites().get(random.nextInt(plan.sites().size())).name();
        return new Targets(dispatcher, link, site);
    }

    private static FaultSection fault(int kind, Targets targets, double startMs, double lengthMs) {
        String dispatcher = targets.dispatcherNames();
        String link = targets.linkNames();
        return switch (kind) {
            case 0 -> new FaultSection("dispatcher-killed", dispatcher, startMs, lengthMs);
            case 1 -> new FaultSection("dispatcher-stopped", dispatcher, startMs, lengthMs);
            case 2 -> new FaultSection("dispatcher-ended", dispatcher, startMs, lengthMs);
            case 3 -> new FaultSection("dispatcher-killed", "share = 0.6\n", startMs, lengthMs);
            case 4 -> new FaultSection("way-cut", link, startMs, lengthMs);
            case 5 -> new FaultSection("way-cut", "site = \"" + targets.site() + "\"\n", startMs, lengthMs);
            case 6 -> new FaultSection("way-lossy", "rate = 0.3\n" + link, startMs, lengthMs);
            case 7 -> new FaultSection("way-flapping", "delay = \"1s\"\n" + link, startMs, lengthMs);
            case 8 -> new FaultSection("way-scattered", "delay = \"40ms\"\n" + link, startMs, lengthMs);
            case 9 -> new FaultSection("roster-silent", dispatcher, startMs, lengthMs);
            default -> new FaultSection("way-repeating", "rate = 0.5\n" + link, startMs, lengthMs);
        };
    }
}
