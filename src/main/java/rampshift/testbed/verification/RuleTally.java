package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.List;

/** Counts the cases to which one rule applied and its breaches, and keeps the first breaches. */
final class RuleTally {
    private static final int MAX_EXAMPLES = 5;

    private final String name;
    private final List<String> examples = new ArrayList<>();
    private long cases;
    private long breaches;

    /** Creates an empty tally for a rule; reports show the name. */
    RuleTally(String name) {
        this.name = name;
    }

    /** Counts one case in which the rule could have been broken. */
    void countCase() {
        cases++;
    }

    /** Counts one breach; reports show the descriptions of the first ones. */
    void countBreach(String description) {
        breaches++;
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(description);
        }
    }

    Verdict.Rule result() {
        return new Verdict.Rule(name, cases, breaches, List.copyOf(examples));
    }
}
