package rampshift.testbed.verification;

import java.util.List;
import java.util.Map;

/**
 * The result of checking the event logs of a run.
 *
 * @param rules all rules, always in the same order
 * @param requests the number of requests that event logs mention; a client's retry is another request
 * @param attempts the number of attempts that reached workers
 * @param repeatedAttempts the number of attempts that reached workers beyond the first one of each request
 * @param attemptsPerSecond the attempts that each worker received in each second since the first event, by
 *        worker
 * @param marks when faults began and ended, in the order of time
 * @param fromMicros when the first event was, in microseconds of Unix time; 0 if there is none
 * @param detectionMs the time of each detection of a killed dispatcher by another one within the limit, from
 *        the start of the absence, in milliseconds
 * @param lastAttemptAfterDrainMs the longest time from the drain of a worker to an attempt that still reached
 *        it, over all dispatchers, notified of the drain or not, in milliseconds; 0 if there is none
 * @param leaseEffects counts of the effects that workers applied for holders of leases
 */
public record Verdict(List<Rule> rules, long requests, long attempts, long repeatedAttempts,
        Map<String, long[]> attemptsPerSecond,
        List<Mark> marks, long fromMicros, List<Double> detectionMs, double lastAttemptAfterDrainMs,
        LeaseEffects leaseEffects) {
    /**
     * Counts of the effects that workers applied for holders of leases, over all leases.
     *
     * @param takeovers how often an effect carried a higher fencing token than all effects before it
     * @param refused the number of effects that workers refused because of a lower fencing token
     * @param tasksAppliedOnce the number of tasks of periodic jobs that took effect once
     * @param tasksAppliedRepeatedly the number of tasks of periodic jobs that took effect more than once
     * @param unsureTasksNotApplied the number of tasks that did not take effect and for which a dispatcher
     *        did not know whether they ran
     */
    public record LeaseEffects(long takeovers, long refused, long tasksAppliedOnce,
            long tasksAppliedRepeatedly, long unsureTasksNotApplied) {}

    /**
     * The result of one rule.
     *
     * @param name the name of the rule
     * @param cases the number of cases in which it could have been broken
     * @param breaches the number of breaches
     * @param examples the first few breaches, one sentence each
     */
    public record Rule(String name, long cases, long breaches, List<String> examples) {}

    /**
     * The beginning or end of a fault, or a change of a dispatcher's process.
     *
     * @param second the time in seconds since the first event
     * @param text the line of the event log without its time
     */
    public record Mark(double second, String text) {}

    /** Returns whether no rule was broken. */
    public boolean allRulesHold() {
        return rules.stream().allMatch(rule -> rule.breaches() == 0);
    }
}
