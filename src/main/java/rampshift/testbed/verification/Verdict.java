package rampshift.testbed.verification;

import java.util.List;
import java.util.Map;

/**
 * What the event logs of a run show.
 *
 * @param rules all rules, always in the same order
 * @param tasks requests that event logs mention; a client's retry counts as another one
 * @param assignments attempts that reached workers
 * @param copies attempts that reached workers beyond the first one of each request
 * @param taken by worker, the attempts that it received in each second since the first event
 * @param marks when faults began and ended, in the order of their times
 * @param fromMicros when the first event was, in microseconds of Unix time; 0 if there is none
 * @param knownMs from each kill of a dispatcher to each other one's knowledge of it, in milliseconds
 * @param lastSendMs the longest time from the drain of a worker to an attempt that still reached it, over all
 *        dispatchers, whether they were told of the drain or not, in milliseconds; 0 if there is none
 * @param leaseEffects what workers did for holders of leases
 */
public record Verdict(List<Rule> rules, long tasks, long assignments, long copies, Map<String, long[]> taken,
        List<Mark> marks, long fromMicros, List<Double> knownMs, double lastSendMs,
        LeaseEffects leaseEffects) {
    /**
     * What workers did for holders of leases, over all leases.
     *
     * @param takeovers how often an effect came with a higher fencing token than those before it
     * @param refused effects that were refused for a lower fencing token
     * @param once tasks of periodic jobs that took effect once
     * @param more tasks of periodic jobs that took effect more than once
     * @param never tasks of which a dispatcher did not know whether they ran, and that did not
     */
    public record LeaseEffects(long takeovers, long refused, long once, long more, long never) {}

    /**
     * How one rule was kept.
     *
     * @param name the name of the rule
     * @param atStake how often it could have been broken
     * @param broken how often it was broken
     * @param examples the first few breaches, one sentence each
     */
    public record Rule(String name, long atStake, long broken, List<String> examples) {}

    /**
     * The begin or end of a fault, or a change of a dispatcher's process.
     *
     * @param second when it was, in seconds since the first event
     * @param text what the event log says of it
     */
    public record Mark(double second, String text) {}

    /** Whether no rule was broken. */
    public boolean kept() {
        return rules.stream().allMatch(rule -> rule.broken() == 0);
    }
}
