package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.verification.Verdict;

/**
 * Real dispatchers that know each other, under faults drawn by a seed, judged after each round. What breaks a
 * rule is
 * told with its seed and its faults, as a fleet file that plays it again.
 */
final class FaultCampaign {
    private static final int MOST_FAULTS = 5;
    private static final double FIRST = 0.1;            // of the length, until the first fault
    private static final double LAST = 0.6;             // no fault goes on beyond that: then all are to agree
    private static final double LONGEST = 0.25;         // of the length
    private static final int WORST_VOID = 3;

    private final Path file;
    private final FleetPlan plan;
    private final Path folder;
    private final long first;
    private final long last;
    private final boolean shrink;
    private final PrintStream out;
    private final ChildProcesses children = new ChildProcesses();

    FaultCampaign(Path file, FleetPlan plan, Path folder, String seeds, boolean shrink, PrintStream out) {
        if (!seeds.matches("\\d{1,6}(-\\d{1,6})?")) {
            throw new ConfigurationException(
                    "--seeds is \"" + seeds + "\", expected a number, or the first and the last as 5-9");
        }
        if (!plan.members().enabled()) {
            throw new ConfigurationException(
                    file + ": has no [members]: its dispatchers don't know each other");
        }
        this.file = file;
        this.plan = plan;
        this.folder = folder;
        int cut = seeds.indexOf('-');
        first = cut < 0 ? 1 : Long.parseLong(seeds.substring(0, cut));
        last = Long.parseLong(seeds.substring(cut + 1));
        this.shrink = shrink;
        this.out = out;
    }

    /** Status 0: no rule broke; 1: some did; 3: too many rounds were void. */
    int run() throws IOException, InterruptedException {
        int broken = 0;
        int empty = 0;
        double worst = 1;
        for (long seed = first; seed <= last; seed++) {
            List<String> faults = drawn(seed);
            RunOutcome o = play(seed, faults, "seed-" + seed);
            worst = Math.min(worst, o.earningsServed());
            empty += o.isVoid() ? 1 : 0;
            out.printf(Locale.ROOT, "seed %d: %d faults, earnings served %.1f%%, %s%n", seed, faults.size(),
                    100 * o.earningsServed(), o.isVoid() ? "void: this machine was too busy"
                            : o.verdict.kept() ? "kept" : "BROKEN: " + brokenRules(o.verdict));
            if (!o.isVoid() && !o.verdict.kept()) {
                broken++;
                SummaryTable.rules(o.verdict, out);
                List<String> least = shrink ? shrunk(seed, faults) : faults;
                Path again = Files.writeString(folder.resolve("breach-" + seed + ".toml"), text(least));
                out.println("its faults, to be played again by `experiment " + again + "`:");
                least.forEach(out::print);
            }
        }
        out.printf(Locale.ROOT,
                "%d rounds, %d void, %d with a broken rule; earnings served %.1f%% at the least%n",
                last - first + 1, empty, broken, 100 * worst);
        return broken > 0 ? 1 : (long) empty * WORST_VOID > last - first + 1 ? 3 : 0;
    }

    private static String brokenRules(Verdict v) {
        return String.join(", ",
                v.rules().stream().filter(r -> r.broken() > 0).map(Verdict.Rule::name).toList());
    }

    private RunOutcome play(long seed, List<String> faults, String name)
            throws IOException, InterruptedException {
        Path place = Files.createDirectories(folder.resolve(name));
        Path one = Files.writeString(place.resolve("plan.toml"), text(faults));
        return new FleetRun(children, FleetPlanReader.read(one), one, null, seed, place, l -> {}).play();
    }

    private String text(List<String> faults) throws IOException {
        return Files.readString(file) + "\n" + String.join("", faults);
    }

    /** Takes faults away, one after the other, while a rule still breaks. */
    private List<String> shrunk(long seed, List<String> faults) throws IOException, InterruptedException {
        List<String> least = new ArrayList<>(faults);
        for (int i = least.size() - 1; i >= 0 && least.size() > 1; i--) {
            List<String> fewer = new ArrayList<>(least);
            fewer.remove(i);
            RunOutcome o = play(seed, fewer, "seed-" + seed + "-without-" + i);
            if (!o.isVoid() && !o.verdict.kept()) {
                least = fewer;
            }
        }
        return least;
    }

    private List<String> drawn(long seed) {
        UniformRandomProvider chance = RandomStreams.of(seed, "together");
        double length = plan.length().millis();
        int count = 1 + chance.nextInt(MOST_FAULTS);
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            double at = length * (FIRST + (LAST - FIRST) * 0.8 * chance.nextDouble());
            double most = Math.min(length * LONGEST, length * LAST - at);
            double lasts = Math.max(100, most * chance.nextDouble());
            faults.add("[[trouble]]\n" + what(chance)
                    + String.format(Locale.ROOT, "at = \"%.0fms\"%nlength = \"%.0fms\"%n", at, lasts));
        }
        return faults;
    }

    private String what(UniformRandomProvider chance) {
        String one = "\"d" + (1 + chance.nextInt(plan.dispatcherCount())) + "\"";
        int from = chance.nextInt(plan.dispatcherCount());
        int to = (from + 1 + chance.nextInt(Math.max(1, plan.dispatcherCount() - 1)))
                % plan.dispatcherCount();
        String pair = "\"d" + (1 + from) + (chance.nextBoolean() ? ">" : "=")
                + (chance.nextInt(3) == 0 ? "*" : "d" + (1 + to)) + "\"";
        String site = plan.sites().get(chance.nextInt(plan.sites().size())).name();
        return switch (chance.nextInt(11)) {
            case 0 -> "what = \"dispatcher-killed\"\nnames = [" + one + "]\n";
            case 1 -> "what = \"dispatcher-stopped\"\nnames = [" + one + "]\n";
            case 2 -> "what = \"dispatcher-ended\"\nnames = [" + one + "]\n";
            case 3 -> "what = \"dispatcher-killed\"\nshare = 0.6\n";
            case 4 -> "what = \"way-cut\"\nnames = [" + pair + "]\n";
            case 5 -> "what = \"way-cut\"\nsite = \"" + site + "\"\n";
            case 6 -> "what = \"way-lossy\"\nrate = 0.3\nnames = [" + pair + "]\n";
            case 7 -> "what = \"way-flapping\"\ndelay = \"1s\"\nnames = [" + pair + "]\n";
            case 8 -> "what = \"way-scattered\"\ndelay = \"40ms\"\nnames = [" + pair + "]\n";
            case 9 -> "what = \"roster-silent\"\nnames = [" + one + "]\n";
            default -> "what = \"way-repeating\"\nrate = 0.5\nnames = [" + pair + "]\n";
        };
    }
}
