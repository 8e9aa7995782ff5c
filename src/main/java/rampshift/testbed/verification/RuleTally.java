package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.List;

/** Counts how often one rule was at stake and how often it was broken, and keeps the first breaches. */
final class RuleTally {
    private static final int MAX_EXAMPLES = 5;

    private final String name;
    private final List<String> examples = new ArrayList<>();
    private long atStake;
    private long broken;

    /** An empty tally of the rule with that name, which stands in reports. */
    RuleTally(String name) {
        this.name = name;
    }

    /** Counts one case in which the rule could have been broken. */
    void countCase() {
        atStake++;
    }

    /** Counts one breach; the description stands in reports if it is among the first. */
    void countBreach(String description) {
        broken++;
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(description);
        }
    }

    Verdict.Rule result() {
        return new Verdict.Rule(name, atStake, broken, List.copyOf(examples));
    }
}
