package rampshift.testbed.verification;

import java.util.List;
import java.util.Map;

/**
 * What the ledgers of a run show. Copies: assignments beyond the first of a task. Taken: by worker, the
 * assignments
 * it took in each second since the first line. Known: from each failure of a dispatcher to each other's word
 * of it.
 * Last send: the latest new assignment to a worker after it drained, over all dispatchers, told or not; 0 for
 * none.
 */
public record Verdict(List<Rule> rules, long tasks, long assignments, long copies, Map<String, long[]> taken,
        List<Mark> marks, long fromMicros, List<Double> knownMs, double lastSendMs, Acts acts) {
    /**
     * Under leases: how often the token of effects rose, effects refused for a lower one, tasks of duties
     * that took effect
     * once and more often, and those told as unsure that never did.
     */
    public record Acts(long takeovers, long refused, long once, long more, long never) {}

    /** One rule: how often it was at stake, how often it broke, and the first few breaches. */
    public record Rule(String name, long atStake, long broken, List<String> examples) {}

    /** A trouble's begin or end, in seconds since the first line. */
    public record Mark(double second, String text) {}

    public boolean kept() {
        return rules.stream().allMatch(r -> r.broken() == 0);
    }
}
