package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Counts from the event logs of clients, workers, discovery agents and dispatchers whether the rules held. It
 * shares no code with the dispatcher, so that both are not wrong in the same way. It has no I/O and no clock:
 * it gets lines and returns a verdict. All times are in microseconds of Unix time.
 */
public final class RuleChecker {
    private final long graceMicros;
    private final long slackMicros;
    private final long detectionLimitMicros;
    private final long agreementLimitMicros;
    private final List<LogEvent> events = new ArrayList<>();

    /**
     * A checker for dispatchers that do not know one another.
     *
     * @param graceMicros how long after a drain was told attempts may still begin, in microseconds
     * @param slackMicros what clocks, queues and links may add to any limit, in microseconds
     */
    public RuleChecker(long graceMicros, long slackMicros) {
        this(graceMicros, slackMicros, 0, 0);
    }

    /**
     * A checker for dispatchers that know one another.
     *
     * @param graceMicros how long after a drain was told attempts may still begin, in microseconds
     * @param slackMicros what clocks, queues and links may add to any limit, in microseconds
     * @param knownByMicros how long after a failure all others are to know of it, in microseconds
     * @param agreeByMicros how long after the last fault all are to agree, in microseconds
     */
    public RuleChecker(long graceMicros, long slackMicros, long knownByMicros, long agreeByMicros) {
        this.graceMicros = graceMicros;
        this.slackMicros = slackMicros;
        detectionLimitMicros = knownByMicros;
        agreementLimitMicros = agreeByMicros;
    }

    /**
     * Takes a line of any event log, in any order.
     *
     * @throws MalformedLineException if it is not one; the message names the line
     */
    public void line(String line) {
        events.add(LogEventParser.parse(line));
    }

    /** Checks all lines so far. */
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
        rules.add(leaseEffects.orderResult());
        rules.add(leaseTokens(byTime));
        rules.add(leaseEffects.onceResult());
        rules.add(registers(byTime));
        return new Verdict(List.copyOf(rules), requests.requests().size(), requests.attempts(),
                requests.repeatedAttempts(), timeline.attemptsOfWorker(), timeline.marks(), from,
                membership.detectionMillis(), drainedWorkers.longestMillis(), leaseEffects.counts());
    }

    /** The rules for requests of clients and the attempts that dispatchers make for them. */
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
            if (request.isSent() && !request.isOfJob()) {
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
