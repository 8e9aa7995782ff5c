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
     * Creates results without any outcomes.
     *
     * @param trials the seeds, and the confidence level of intervals
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

    /** Returns the names of the arms, the baseline first. */
    Set<String> arms() {
        return Collections.unmodifiableSet(outcomesByArm.keySet());
    }

    /** Returns the arm with which the others are compared. */
    String baseline() {
        return outcomesByArm.keySet().iterator().next();
    }

    /** Returns whether an arm is the baseline. */
    boolean isBaseline(String arm) {
        return arm.equals(baseline());
    }

    /** Returns the outcomes of an arm by seed, including those of void runs. */
    Map<Long, RunOutcome> outcomes(String arm) {
        return Collections.unmodifiableMap(outcomesByArm.get(arm));
    }

    /** Returns the outcomes of an arm for all valid seeds. */
    List<RunOutcome> validOutcomes(String arm) {
        Map<Long, RunOutcome> outcomes = outcomesByArm.get(arm);
        return validSeeds().stream().map(outcomes::get).toList();
    }

    /** Returns the seeds for which no arm's run is void. Requires the outcomes for all seeds of all arms. */
    List<Long> validSeeds() {
        return trials.seeds().stream().filter(
                seed -> outcomesByArm.values().stream().noneMatch(outcomes -> outcomes.get(seed).isVoid()))
                .toList();
    }

    /** Returns whether no rule was broken in any run. */
    boolean keptRules() {
        return outcomesByArm.values().stream().flatMap(outcomes -> outcomes.values().stream())
                .allMatch(RunOutcome::keptRules);
    }

    /** Returns the minimum confidence level of intervals, 0 to 1. */
    double confidence() {
        return trials.confidence();
    }

    /** Returns the median of a figure over the valid runs of an arm. */
    ConfidenceInterval median(String arm, Figure figure) {
        return Comparison.median(values(arm, figure), confidence());
    }

    /** Returns the median difference of a figure from the baseline, paired by seed. */
    ConfidenceInterval medianDifference(String arm, Figure figure) {
        return Comparison.medianDifference(values(baseline(), figure), values(arm, figure), confidence());
    }

    private double[] values(String arm, Figure figure) {
        return validOutcomes(arm).stream().mapToDouble(figure::of).toArray();
    }
}
