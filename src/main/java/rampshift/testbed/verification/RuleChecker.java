package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks in the event logs of clients, workers, discovery agents and dispatchers whether the rules held. It
 * shares no code with the dispatcher, so that one defect cannot affect both. It has no I/O and no clock: it
 * receives lines and returns a verdict. All times are in microseconds of Unix time.
 */
public final class RuleChecker {
    private final long graceMicros;
    private final long slackMicros;
    private final long detectionLimitMicros;
    private final long agreementLimitMicros;
    private final List<LogEvent> events = new ArrayList<>();

    /**
     * Creates a checker for dispatchers that do not know one another.
     *
     * @param graceMicros how long after the notification of a drain attempts may still begin, in microseconds
     * @param slackMicros the tolerance for clocks, queues and links, added to the limits for requests and
     *        attempts, in microseconds
     */
    public RuleChecker(long graceMicros, long slackMicros) {
        this(graceMicros, slackMicros, 0, 0);
    }

    /**
     * Creates a checker for dispatchers that know one another.
     *
     * @param graceMicros how long after the notification of a drain attempts may still begin, in microseconds
     * @param slackMicros the tolerance for clocks, queues and links, added to the limits for requests and
     *        attempts, in microseconds
     * @param maxDetectionMicros the maximum time from a failure to its detection by each other dispatcher, in
     *        microseconds
     * @param maxAgreementMicros the maximum time from the last fault until all views agree, in microseconds
     */
    public RuleChecker(long graceMicros, long slackMicros, long maxDetectionMicros, long maxAgreementMicros) {
        this.graceMicros = graceMicros;
        this.slackMicros = slackMicros;
        detectionLimitMicros = maxDetectionMicros;
        agreementLimitMicros = maxAgreementMicros;
    }

    /**
     * Adds a line of any event log. Lines may come in any order.
     *
     * @throws MalformedLineException if the line is malformed; the message contains the line
     */
    public void line(String line) {
        events.add(LogEventParser.parse(line));
    }

    /** Checks all lines added so far. */
    public Verdict verdict() {
        List<LogEvent> byTime = sorted(Comparator.comparingLong(LogEvent::at));
        long from = byTime.isEmpty() ? 0 : byTime.get(0).at();
        long to = byTime.isEmpty() ? 0 : byTime.get(byTime.size() - 1).at();
        Timeline timeline = new Timeline(from, to);
        DrainedWorkerAttempts drainedWorkers = new DrainedWorkerAttempts();
        notify(byTime, timeline, drainedWorkers);

        RequestTable requests = new RequestTable();
        LeaseEffectChecker leaseEffects = new LeaseEffectChecker();
        DispatcherFaultHistory faults = new DispatcherFaultHistory();
        MembershipChecker membership =
                new MembershipChecker(faults, detectionLimitMicros, agreementLimitMicros);
        notify(byTime, requests, leaseEffects, faults, membership);
        leaseEffects.check();
        membership.check();

        List<Verdict.Rule> rules = new ArrayList<>(requestRules(byTime, requests));
        rules.add(membership.detectionResult());
        rules.add(membership.accuracyResult());
        rules.add(membership.agreementResult());
        rules.add(leaseEffects.tokenOrderResult());
        rules.add(leaseTokens(byTime));
        rules.add(leaseEffects.singleEffectResult());
        rules.add(registers(byTime));
        return new Verdict(List.copyOf(rules), requests.requests().size(), requests.attempts(),
                requests.repeatedAttempts(), timeline.attemptsOfWorker(), timeline.marks(), from,
                membership.detectionMillis(), drainedWorkers.longestMillis(), leaseEffects.counts());
    }

    /** Checks the rules for requests of clients and for the attempts that dispatchers make for them. */
    private List<Verdict.Rule> requestRules(List<LogEvent> byTime, RequestTable requests) {
        DispatcherOutages outages = new DispatcherOutages();
        FinalAnswerRule finalAnswer = new FinalAnswerRule(outages, slackMicros);
        LateAttemptRule lateAttempts = new LateAttemptRule(slackMicros);
        SingleEffectRule singleEffect = new SingleEffectRule();
        ColdWorkerRule coldWorkers = new ColdWorkerRule();
        WorkerResultRule results = new WorkerResultRule();
        notify(byTime, outages, finalAnswer, coldWorkers);
        for (ClientRequest request : requests.requests()) {
            finalAnswer.check(request);
            if (request.isSent() && !request.isJobTask()) {
                lateAttempts.check(request);
                results.check(request);
            }
        }
        singleEffect.check(requests.requests());
        return List.of(finalAnswer.result(), lateAttempts.result(), singleEffect.result(), drains(),
                coldWorkers.result(), results.result());
    }

    private Verdict.Rule drains() {
        DrainRule drains = new DrainRule(graceMicros, slackMicros);
        List<LogEvent> byTime = sorted(Comparator.comparingLong(LogEvent::at));
        byTime.sort(Comparator.comparingLong(LogEvent::occurredAt));
        notify(byTime, drains);
        return drains.result();
    }

    private static Verdict.Rule leaseTokens(List<LogEvent> byTime) {
        LeaseTokenRule tokens = new LeaseTokenRule();
        notify(byTime, tokens);
        return tokens.result();
    }

    private static Verdict.Rule registers(List<LogEvent> byTime) {
        RegisterRule registers = new RegisterRule();
        notify(byTime, registers);
        registers.check();
        return registers.result();
    }

    private List<LogEvent> sorted(Comparator<LogEvent> order) {
        List<LogEvent> sorted = new ArrayList<>(events);
        sorted.sort(order);
        return sorted;
    }

    private static void notify(List<LogEvent> events, LogEventListener... listeners) {
        for (LogEvent event : events) {
            for (LogEventListener listener : listeners) {
                event.accept(listener);
            }
        }
    }
}
