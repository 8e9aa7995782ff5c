package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import rampshift.testbed.verification.LogEvent.LoadFinished;
import rampshift.testbed.verification.LogEvent.MembershipChanged;

/**
 * The rules for dispatchers that know one another, which are those of a failure detector: failures are
 * detected in time, no responsive dispatcher is reported as failed, and all views agree after the last fault.
 * The checker compares the member states that dispatchers logged with the injected faults. Times are in
 * microseconds of Unix time.
 */
final class MembershipChecker implements LogEventListener {
    private static final double MICROS_PER_MILLI = 1_000;
    /** The states in which the observer considers the subject alive. */
    private static final Set<String> ALIVE_STATES = Set.of("joined", "changed", "cleared");
    private static final String NO_STATE = "nothing";
    private static final long NOT_FINISHED = Long.MAX_VALUE;

    private final RuleTally detection = new RuleTally("failures known in time");
    private final RuleTally accuracy = new RuleTally("nobody sound taken for failed");
    private final RuleTally agreement = new RuleTally("all agree after the last fault");
    private final DispatcherFaultHistory faults;
    private final long detectionLimitMicros;
    private final long agreementLimitMicros;
    private final List<MembershipChanged> changes = new ArrayList<>();
    private final Set<String> dispatchers = new TreeSet<>();
    private final List<Double> detectionMillis = new ArrayList<>();
    private long finishedAt = NOT_FINISHED;

    /**
     * Creates the rules.
     *
     * @param faults the injected faults; must be complete before {@link #check()}
     * @param detectionLimitMicros the maximum time from a failure to its detection by each other dispatcher,
     *        in microseconds
     * @param agreementLimitMicros the maximum time from the last fault until all views agree, in microseconds
     */
    MembershipChecker(DispatcherFaultHistory faults, long detectionLimitMicros, long agreementLimitMicros) {
        this.faults = faults;
        this.detectionLimitMicros = detectionLimitMicros;
        this.agreementLimitMicros = agreementLimitMicros;
    }

    @Override
    public void onMembershipChanged(MembershipChanged event) {
        dispatchers.add(event.observer());
        changes.add(event);
    }

    @Override
    public void onLoadFinished(LoadFinished event) {
        finishedAt = event.at();
    }

    /** Checks all rules. Must be called once, after the last event. */
    void check() {
        faults.forEachKill(this::checkDetection);
        changes.forEach(this::checkAccuracy);
        checkAgreement();
    }

    Verdict.Rule detectionResult() {
        return detection.result();
    }

    Verdict.Rule accuracyResult() {
        return accuracy.result();
    }

    Verdict.Rule agreementResult() {
        return agreement.result();
    }

    /** Returns the time of each detection in time, from the failure, in milliseconds. */
    List<Double> detectionMillis() {
        return detectionMillis;
    }

    /**
     * Checks that all dispatchers that could detect a kill did so. A process that was back before the
     * detection limit is not checked, nor is one killed so late that the load ended before.
     */
    private void checkDetection(String killed, Interval absence) {
        long limit = absence.start() + detectionLimitMicros;
        if (absence.end() < limit || finishedAt < limit) {
            return;
        }
        for (String observer : dispatchers) {
            if (!observer.equals(killed) && couldDetect(observer, absence.start())) {
                checkDetection(killed, absence.start(), observer);
            }
        }
    }

    private boolean couldDetect(String observer, long failedAt) {
        long from = failedAt - detectionLimitMicros;
        long to = failedAt + detectionLimitMicros;
        return !faults.wasAbsent(observer, from, to) && !faults.wasThrottled(observer, from, to)
                && !faults.wasAnyLinkFaulty(from, to);
    }

    private void checkDetection(String killed, long failedAt, String observer) {
        detection.countCase();
        for (MembershipChanged change : changes) {
            if (change.observer().equals(observer) && isFailureOf(change, killed) && change.at() >= failedAt
                    && change.at() <= failedAt + detectionLimitMicros) {
                detectionMillis.add((change.at() - failedAt) / MICROS_PER_MILLI);
                return;
            }
        }
        detection.countBreach(
                observer + " did not detect within " + TimeUnit.MICROSECONDS.toMillis(detectionLimitMicros)
                        + " ms that " + killed + " was killed");
    }

    private static boolean isFailureOf(MembershipChanged change, String subject) {
        return change.state().equals(MembershipChanged.FAILED) && change.subject().equals(subject);
    }

    /** Checks that the subject of a reported failure, its observer or a link had a fault shortly before. */
    private void checkAccuracy(MembershipChanged change) {
        if (!change.state().equals(MembershipChanged.FAILED) || change.at() > finishedAt) {
            return;
        }
        accuracy.countCase();
        long from = change.at() - detectionLimitMicros;
        // A process with limited processor time may be reported as failed. As an observer, it must notice its
        // own delay and must not report others.
        if (!faults.wasThrottled(change.subject(), from, change.at())
                && !faults.wasAbsent(change.subject(), from, change.at())
                && !faults.wasAbsent(change.observer(), from, change.at())
                && !faults.wasAnyLinkFaulty(from, change.at())) {
            accuracy.countBreach(change.observer() + " reported " + change.subject()
                    + " as failed without a fault");
        }
    }

    /** Checks that all running dispatchers consider one another alive long enough after the last fault. */
    private void checkAgreement() {
        long sinceLastFault = finishedAt - faults.lastFaultEnd(finishedAt);
        if (finishedAt == NOT_FINISHED || sinceLastFault < agreementLimitMicros) {
            return;
        }
        Map<String, Map<String, String>> views = viewsAtFinish();
        for (String observer : dispatchers) {
            Map<String, String> states = views.getOrDefault(observer, Map.of());
            for (String subject : dispatchers) {
                if (observer.equals(subject) || faults.isAbsent(observer) || faults.isAbsent(subject)) {
                    continue;
                }
                agreement.countCase();
                String state = states.getOrDefault(subject, NO_STATE);
                if (!ALIVE_STATES.contains(state)) {
                    agreement.countBreach(observer + " has state " + state + " for " + subject + " "
                            + TimeUnit.MICROSECONDS.toMillis(sinceLastFault) + " ms after the last fault");
                }
            }
        }
    }

    /** Returns the state that each observer recorded for each subject when the load ended. */
    private Map<String, Map<String, String>> viewsAtFinish() {
        Map<String, Map<String, String>> views = new TreeMap<>();
        for (MembershipChanged change : changes) {
            if (change.at() > finishedAt) {
                break;
            }
            if (change.state().equals(MembershipChanged.STARTED)) {
                views.put(change.observer(), new HashMap<>());
            } else if (!change.subject().equals(change.observer())
                    && dispatchers.contains(change.subject())) {
                views.computeIfAbsent(change.observer(), absent -> new HashMap<>())
                        .put(change.subject(), change.state());
            }
        }
        return views;
    }
}
