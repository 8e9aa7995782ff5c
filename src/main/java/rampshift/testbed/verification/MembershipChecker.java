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
 * The rules for dispatchers that know one another, as a failure detector is held to them: failures are found
 * in time, nobody who answers is taken for failed, and all agree once faults are over. It compares what
 * dispatchers believed of one another with the faults that befell them. Times are in microseconds of Unix
 * time.
 */
final class MembershipChecker implements LogEventListener {
    private static final double MICROS_PER_MILLI = 1_000;
    /** The states in which the subject is taken for alive. */
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
     * The rules, before any event.
     *
     * @param faults what befell dispatchers; to be complete before {@link #check()}
     * @param detectionLimitMicros how long after a failure all others are to know of it, in microseconds
     * @param agreementLimitMicros how long after the last fault all are to agree, in microseconds
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

    /** Checks all rules; to be called once, after the last event. */
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

    /** From each failure to each other dispatcher's knowledge of it, in milliseconds. */
    List<Double> detectionMillis() {
        return detectionMillis;
    }

    /** A process that was killed is known to have failed by all that could know it. */
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
        return !faults.wasAbsent(observer, from, to) && !faults.wasStarved(observer, from, to)
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
                observer + " did not know within " + TimeUnit.MICROSECONDS.toMillis(detectionLimitMicros)
                        + " ms that " + killed + " was killed");
    }

    private static boolean isFailureOf(MembershipChanged change, String subject) {
        return change.state().equals(MembershipChanged.FAILED) && change.subject().equals(subject);
    }

    /** Nobody is taken for failed who answered, as did the links to it. */
    private void checkAccuracy(MembershipChanged change) {
        if (!change.state().equals(MembershipChanged.FAILED) || change.at() > finishedAt) {
            return;
        }
        accuracy.countCase();
        long from = change.at() - detectionLimitMicros;
        // A starved process may be taken for failed; it is to know that it is late, and to accuse nobody.
        if (!faults.wasStarved(change.subject(), from, change.at())
                && !faults.wasAbsent(change.subject(), from, change.at())
                && !faults.wasAbsent(change.observer(), from, change.at())
                && !faults.wasAnyLinkFaulty(from, change.at())) {
            accuracy.countBreach(change.observer() + " took " + change.subject()
                    + " for failed, which nothing had befallen");
        }
    }

    /** Once the last fault is over for long enough, all that are there take one another for alive. */
    private void checkAgreement() {
        long sinceLastFault = finishedAt - faults.lastFaultEnd(finishedAt);
        if (finishedAt == NOT_FINISHED || sinceLastFault < agreementLimitMicros) {
            return;
        }
        Map<String, Map<String, String>> beliefs = beliefsAtFinish();
        for (String observer : dispatchers) {
            Map<String, String> states = beliefs.getOrDefault(observer, Map.of());
            for (String subject : dispatchers) {
                if (observer.equals(subject) || faults.isAbsent(observer) || faults.isAbsent(subject)) {
                    continue;
                }
                agreement.countCase();
                String state = states.getOrDefault(subject, NO_STATE);
                if (!ALIVE_STATES.contains(state)) {
                    agreement.countBreach(observer + " has " + state + " of " + subject + " "
                            + TimeUnit.MICROSECONDS.toMillis(sinceLastFault) + " ms after the last fault");
                }
            }
        }
    }

    /** By observer and subject, the state that the observer held the subject for when the load ended. */
    private Map<String, Map<String, String>> beliefsAtFinish() {
        Map<String, Map<String, String>> beliefs = new TreeMap<>();
        for (MembershipChanged change : changes) {
            if (change.at() > finishedAt) {
                break;
            }
            if (change.state().equals(MembershipChanged.STARTED)) {
                beliefs.put(change.observer(), new HashMap<>());
            } else if (!change.subject().equals(change.observer())
                    && dispatchers.contains(change.subject())) {
                beliefs.computeIfAbsent(change.observer(), absent -> new HashMap<>())
                        .put(change.subject(), change.state());
            }
        }
        return beliefs;
    }
}
