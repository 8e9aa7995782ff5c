package rampshift.testbed.faults;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;

/** Whom a trouble befalls: those it names, or a share of all, drawn by the seed. */
public final class FaultTargets {
    private FaultTargets() {}

    /**
     * At least one where the share is above 0. A name may stand for all that begin with it, as {@code
     * north-*}.
     */
    public static List<String> of(FleetPlan.Trouble trouble, List<String> all, UniformRandomProvider chance) {
        List<String> drawn = new ArrayList<>();
        for (String one : all) {
            if (trouble.names().stream().anyMatch(n -> n.equals(one)
                    || (n.endsWith("*") && one.startsWith(n.substring(0, n.length() - 1))))) {
                drawn.add(one);
            }
        }
        List<String> left = new ArrayList<>(all);
        left.removeAll(drawn);
        long count = trouble.share() == 0 ? 0 : Math.max(1, Math.round(trouble.share() * all.size()));
        for (long i = 0; i < count && !left.isEmpty(); i++) {
            drawn.add(left.remove(chance.nextInt(left.size())));
        }
        return drawn;
    }
}
