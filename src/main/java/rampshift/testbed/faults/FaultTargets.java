package rampshift.testbed.faults;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;

/**
 * Selects the targets of a fault: those that it names, and a share of the candidates that is drawn at random.
 */
public final class FaultTargets {
    private static final String WILDCARD = "*";

    private FaultTargets() {}

    /**
     * Selects the targets of a fault. A share above 0 selects at least one candidate in addition to the named
     * ones.
     *
     * @param fault the fault; a name such as {@code north-*} selects all candidates that begin with
     *        {@code north-}
     * @param candidates the names of all possible targets
     * @param random draws the targets that are not named
     * @return the named targets in the order of the candidates, then the drawn ones
     */
    public static List<String> of(FleetPlan.Fault fault, List<String> candidates,
            UniformRandomProvider random) {
        List<String> targets = new ArrayList<>();
        for (String candidate : candidates) {
            if (fault.names().stream().anyMatch(pattern -> matches(pattern, candidate))) {
                targets.add(candidate);
            }
        }
        List<String> others = new ArrayList<>(candidates);
        others.removeAll(targets);
        long count =
                fault.share() == 0 ? 0 : Math.max(1, Math.round(fault.share() * candidates.size()));
        for (long i = 0; i < count && !others.isEmpty(); i++) {
            targets.add(others.remove(random.nextInt(others.size())));
        }
        return targets;
    }

    private static boolean matches(String pattern, String name) {
        if (pattern.endsWith(WILDCARD)) {
            String prefix = pattern.substring(0, pattern.length() - WILDCARD.length());
            return name.startsWith(prefix);
        }
        return name.equals(pattern);
    }
}
