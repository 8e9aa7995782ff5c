package rampshift.testbed.verification;

import static java.util.Map.entry;

import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import rampshift.testbed.verification.FaultEvent.ProcessChange;

/** Parses lines of event logs into events. */
final class LogEventParser {
    private static final String DETAIL_SEPARATOR = "/";
    private static final Map<String, Function<LogLine, LogEvent>> PARSERS = Map.ofEntries(
            entry("sent", LogEventParser::requestSent),
            entry("acted", line -> new RequestEvent.JobTaskTaken(line.at(), line.argument(0))),
            entry("answer", LogEventParser::responseReceived),
            entry("broken",
                    line -> new RequestEvent.ConnectionFailed(line.at(), line.argument(0), line.argument(1))),
            entry("none", line -> new RequestEvent.ResponseMissing(line.at(), line.argument(0))),
            entry("unasked", line -> new LogEvent.UnexpectedBytes(line.at(), line.integer(0))),
            entry("took", LogEventParser::attemptReceived),
            entry("began",
                    line -> new RequestEvent.RunStarted(line.at(), line.argument(0), line.argument(1))),
            entry("done",
                    line -> new RequestEvent.RunCompleted(line.at(), line.argument(1), line.argument(2))),
            entry("boot", LogEventParser::workerStarted),
            entry("fell", line -> new LogEvent.WorkerOverloaded(line.at(), line.argument(0))),
            entry("effect", LogEventParser::effectApplied),
            entry("refused", line -> new LeaseEvent.EffectRefused(line.at())),
            entry("told-whole", line -> new LogEvent.FullListStarted(line.at(), line.integer(0))),
            entry("told", LogEventParser::endpointSent),
            entry("told-end", line -> new LogEvent.FullListCompleted(line.at(), line.integer(0))),
            entry("killed", line -> processChanged(line, ProcessChange.KILLED)),
            entry("ended", line -> processChanged(line, ProcessChange.ENDED)),
            entry("started", line -> processChanged(line, ProcessChange.STARTED)),
            entry("stopped", line -> processChanged(line, ProcessChange.STOPPED)),
            entry("continued", line -> processChanged(line, ProcessChange.CONTINUED)),
            entry("starved", line -> processChanged(line, ProcessChange.STARVED)),
            entry("fed", line -> processChanged(line, ProcessChange.FED)),
            entry("trouble", LogEventParser::faultChanged),
            entry("members", LogEventParser::membershipChanged),
            entry("leases", LogEventParser::leaseEvent),
            entry("finish", line -> new LogEvent.LoadFinished(line.at())));

    private LogEventParser() {}

    /**
     * Returns the event that a line records.
     *
     * @throws MalformedLineException if it lacks a time, an event type or an argument that its type needs
     */
    static LogEvent parse(String text) {
        LogLine line = LogLine.split(text);
        Function<LogLine, LogEvent> parser = PARSERS.get(line.eventType());
        return parser == null ? new LogEvent.OtherEvent(line.at()) : parser.apply(line);
    }

    /** {@code sent REQUEST TASK TYPE EFFECT DISPATCHER PATIENCE}, the patience in microseconds. */
    private static LogEvent requestSent(LogLine line) {
        return new RequestEvent.RequestSent(line.at(), line.argument(0), line.argument(1), line.argument(2),
                effect(line, 3), line.integer(4), line.number(5));
    }

    /** {@code answer REQUEST STATUS RESULT}. */
    private static LogEvent responseReceived(LogLine line) {
        return new RequestEvent.ResponseReceived(line.at(), line.argument(0), line.integer(1),
                line.argument(2));
    }

    /** {@code took WORKER DISPATCHER REQUEST KEY TYPE FIRST_BYTE}, the time in microseconds. */
    private static LogEvent attemptReceived(LogLine line) {
        return new RequestEvent.AttemptReceived(line.at(), line.argument(0), line.integer(1),
                line.argument(2), line.number(5));
    }

    /** {@code boot WORKER cold|warm}. */
    private static LogEvent workerStarted(LogLine line) {
        return new LogEvent.WorkerStarted(line.at(), line.argument(0), line.argument(1).equals("cold"));
    }

    /** {@code effect LEASE TOKEN WORKER REQUEST TASK EFFECT}. */
    private static LogEvent effectApplied(LogLine line) {
        return new LeaseEvent.EffectApplied(line.at(), line.argument(0), line.number(1), line.argument(4),
                effect(line, 5));
    }

    /** {@code told DISPATCHER WORKER STATE}. */
    private static LogEvent endpointSent(LogLine line) {
        return new LogEvent.EndpointSent(line.at(), line.integer(0), line.argument(1),
                line.argument(2).equals("ready"));
    }

    /** {@code killed DISPATCHER}; the event type names the change. */
    private static LogEvent processChanged(LogLine line, ProcessChange change) {
        return new FaultEvent.ProcessChanged(line.at(), change, line.integer(0), line.withoutTime());
    }

    /** {@code trouble KIND begins|ends TARGETS}. */
    private static LogEvent faultChanged(LogLine line) {
        return new FaultEvent.FaultChanged(line.at(), line.argument(0), line.argument(1).equals("begins"),
                line.optionalArgument(2), line.withoutTime());
    }

    /** {@code members OBSERVER STATE SUBJECT}. */
    private static LogEvent membershipChanged(LogLine line) {
        return new LogEvent.MembershipChanged(line.at(), line.argument(0), line.argument(1),
                line.argument(2));
    }

    /** {@code leases DISPATCHER WORD LEASE TOKEN DETAIL}; the word determines the format of the detail. */
    private static LogEvent leaseEvent(LogLine line) {
        return switch (line.argument(1)) {
            case "holds" ->
                new LeaseEvent.LeaseHeld(line.at(), line.argument(0), line.argument(2), line.number(3));
            case "done" -> registerChanged(line);
            case "duty-done" -> new LeaseEvent.JobTaskCompleted(line.at(), jobTask(line));
            case "duty-unsure" -> new LeaseEvent.JobTaskUnsure(line.at(), jobTask(line));
            default -> new LogEvent.OtherEvent(line.at());
        };
    }

    /** The detail is {@code VERSION/ELAPSED/HOLDER}, with the microseconds since the change was requested. */
    private static LogEvent registerChanged(LogLine line) {
        String[] detail = line.argument(4).split(DETAIL_SEPARATOR);
        try {
            long version = Long.parseLong(detail[0]);
            long elapsedMicros = Long.parseLong(detail[1]);
            return new LeaseEvent.RegisterChanged(line.at(), line.at() - elapsedMicros, line.argument(2),
                    version, line.number(3), detail[2]);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            throw new MalformedLineException(line.text(), e);
        }
    }

    /** Returns the identifier that workers use, {@code JOB-RUN-OBJECT}; the detail is {@code RUN/OBJECT}. */
    private static String jobTask(LogLine line) {
        return line.argument(2) + "-" + line.argument(4).replace('/', '-');
    }

    private static Effect effect(LogLine line, int index) {
        try {
            return Effect.valueOf(line.argument(index).toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new MalformedLineException(line.text(), e);
        }
    }
}
