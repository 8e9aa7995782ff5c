package rampshift.testbed.experiment;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rampshift.testbed.plan.FleetPlan;

/**
 * The outcomes of an experiment by arm and seed. A seed is valid if no arm's run with it is void; only valid
 * seeds are compared.
 */
final class ExperimentResults {
    private final FleetPlan.Trials trials;
    private final Map<String, Map<Long, RunOutcome>> outcomesByArm = new LinkedHashMap<>();

    /**
     * Results without any outcomes.
     *
     * @param trials the seeds, and the confidence of intervals
     * @param arms the names of the arms; the first one is the baseline
     */
    ExperimentResults(FleetPlan.Trials trials, Collection<String> arms) {
        this.trials = trials;
        arms.forEach(arm -> outcomesByArm.put(arm, new LinkedHashMap<>()));
    }

    /** Adds the outcome of one run. */
    void add(String arm, long seed, RunOutcome outcome) {
        outcomesByArm.get(arm).put(seed, outcome);
    }

    /** The names of the arms, the baseline first. */
    Set<String> arms() {
        return Collections.unmodifiableSet(outcomesByArm.keySet());
    }

    /** The arm with which the others are compared. */
    String baseline() {
        return outcomesByArm.keySet().iterator().next();
    }

    /** Whether an arm is the baseline. */
    boolean isBaseline(String arm) {
        return arm.equals(baseline());
    }

    /** The outcomes of an arm by seed, those of void runs among them. */
    Map<Long, RunOutcome> outcomes(String arm) {
        return Collections.unmodifiableMap(outcomesByArm.get(arm));
    }

    /** The outcomes of an arm with all valid seeds. */
    List<RunOutcome> validOutcomes(String arm) {
        Map<Long, RunOutcome> outcomes = outcomesByArm.get(arm);
        return validSeeds().stream().map(outcomes::get).toList();
    }

    /** The seeds with which no arm's run is void; call it only once there are outcomes for all seeds. */
    List<Long> validSeeds() {
        return trials.seeds().stream().filter(
                seed -> outcomesByArm.values().stream().noneMatch(outcomes -> outcomes.get(seed).isVoid()))
                .toList();
    }

    /** Whether no rule was broken in any run. */
    boolean keptRules() {
        return outcomesByArm.values().stream().flatMap(outcomes -> outcomes.values().stream())
                .allMatch(RunOutcome::keptRules);
    }

    /** The confidence of intervals at least, 0 to 1. */
    double confidence() {
        return trials.confidence();
    }

    /** The median of a figure over an arm's valid runs. */
    ConfidenceInterval median(String arm, Figure figure) {
        return Comparison.median(values(arm, figure), confidence());
    }

    /** The median of the differences of a figure from the baseline, paired by seed. */
    ConfidenceInterval medianDifference(String arm, Figure figure) {
        return Comparison.medianDifference(values(baseline(), figure), values(arm, figure), confidence());
    }

    private double[] values(String arm, Figure figure) {
        return validOutcomes(arm).stream().mapToDouble(figure::of).toArray();
    }
}
