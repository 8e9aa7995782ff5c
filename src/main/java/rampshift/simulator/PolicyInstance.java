package rampshift.simulator;

import java.io.UncheckedIOException;
import rampshift.policy.AttemptOutcome;
import rampshift.policy.DispatchPolicy;
import rampshift.policy.EndpointListKind;
import rampshift.policy.EndpointState;
import rampshift.policy.ListedWorker;
import rampshift.policy.TaskRequest;
import rampshift.settings.InvalidInputException;
import rampshift.settings.SettingsReader;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One simulated dispatcher: passes the events of messages to a dispatch policy and writes its decisions. */
final class PolicyInstance {
    /** The value of What in a Note that reports the start of an attempt. */
    private static final int NOTE_STARTED = 1;
    /** The bit of StateBits that marks ExpectedMs as valid. */
    private static final int EXPECTED_TIME_VALID = 1;

    private final String name;
    private final DispatchPolicy policy;
    private final int typeCount;
    private final String freeSlots;
    private final String freeMemory;
    /** Whether the current batch holds an event for this instance. */
    boolean addressed;
    /** Whether the simulator has retired this instance, or started another one with the same name. */
    boolean retired;
    /** The error after which this instance makes no more decisions; null while there is none. */
    private String failure;

    PolicyInstance(String name, SettingsReader settings, long seed, Moment now) {
        if (settings == null) {
            throw new InvalidInputException("Attach without Setup");
        }
        this.name = name;
        var read = settings.read(seed);
        typeCount = read.types.size();
        policy = new DispatchPolicy(read, now);
        freeSlots = settings.reportField("free slots");
        freeMemory = settings.reportField("free memory");
    }

    /** Sets the time of the events that follow. */
    void setTime(Moment now) {
        policy.setNow(now);
    }

    /** Handles one event. A failure of the policy is recorded and reported in the reply. */
    void handleEvent(String type, MessageFields fields) {
        if (!isKnownType(type)) {
            throw new InvalidInputException("message with unknown t " + type);
        }
        if (failure != null) {
            return;
        }
        try {
            onEvent(type, fields);
        } catch (InvalidInputException e) {
            throw e;
        } catch (RuntimeException e) {
            failure = type + ": " + e;
        }
    }

    private static boolean isKnownType(String type) {
        return switch (type) {
            case "Attach", "Fleet", "Arrival", "UnderWay", "Note", "Ended", "Hangup", "Wakeup", "Echo",
                    "NoteFrom" ->
                true;
            default -> false;
        };
    }

    private void onEvent(String type, MessageFields fields) {
        switch (type) {
            case "Fleet" -> onEndpointList(fields);
            case "Arrival" -> onArrival(fields);
            case "Note" -> {
                int number = (int) fields.integer("Try");
                if (fields.integer("What") == NOTE_STARTED) {
                    policy.onAttemptStarted(fields.integer("Ref"), number);
                } else {
                    policy.onAttemptProgress(fields.integer("Ref"), number, fields.number("Value", 0));
                }
            }
            case "Ended" -> {
                reportLoad(fields);
                policy.onAttemptEnded(fields.integer("Ref"), (int) fields.integer("Try"),
                        outcome(fields.text("Disposition")),
                        fields.flag("Terminal"));
            }
            case "Hangup" -> policy.onClientDisconnected(fields.integer("Ref"));
            case "Echo" -> {
                reportLoad(fields);
                policy.onProbeResult(fields.integer("Worker"), fields.text("Disposition").equals("S"));
            }
            case "Wakeup" -> policy.onTimer();
            default -> {
                // Attach is already handled; the policy doesn't use UnderWay (a stream's start) and NoteFrom.
            }
        }
    }

    private void onEndpointList(MessageFields fields) {
        String how = fields.text("How");
        policy.onEndpointListBegin(switch (how) {
            case "failed" -> EndpointListKind.FAILED;
            case "delta" -> EndpointListKind.DELTA;
            case "full" -> EndpointListKind.FULL;
            case "cached" -> EndpointListKind.CACHED;
            default -> throw new InvalidInputException("Fleet: unknown How " + how);
        });
        for (int i = 0; i < fields.entryCount; i++) {
            EndpointEntry entry = fields.entries.get(i);
            policy.onEndpoint(new ListedWorker(entry.worker, entry.zone, entry.cell, entry.kind,
                    state(entry.state), Moment.ofMillis(entry.startedAtMs), entry.weight));
        }
        policy.onEndpointListEnd();
    }

    private static EndpointState state(String code) {
        return switch (code) {
            case "IN" -> EndpointState.READY;
            case "LAME" -> EndpointState.DRAINING;
            default -> EndpointState.REMOVED;
        };
    }

    private void onArrival(MessageFields fields) {
        int trafficType = fields.integerOrZero("Priority");
        if (trafficType < 0 || trafficType >= typeCount) {
            throw new InvalidInputException("Arrival: unknown traffic type " + trafficType);
        }
        policy.onTaskArrived(fields.integer("Ref"),
                new TaskRequest(trafficType, fields.integerOrZero("Owner"), expectedTime(fields),
                        fields.number("Width", 1),
                        fields.number("RamUnits", 0),
                        Span.ofMillis(fields.number("PatienceLeftMs", 0))));
    }

    private static Span expectedTime(MessageFields fields) {
        boolean valid = (fields.integerOrZero("StateBits") & EXPECTED_TIME_VALID) != 0;
        return valid ? Span.ofMillis(Math.max(0, fields.number("ExpectedMs", 0))) : Span.ZERO;
    }

    private void reportLoad(MessageFields fields) {
        if (fields.loadReport != null) {
            policy.onLoadReport(fields.integer("Worker"),
                    freeSlots == null ? Double.NaN : fields.loadReport.number(freeSlots, Double.NaN),
                    fields.loadReport.number("depth", Double.NaN),
                    fields.loadReport.number("concurrent", Double.NaN),
                    freeMemory == null ? Double.NaN : fields.loadReport.number(freeMemory, Double.NaN));
        }
    }

    private static AttemptOutcome outcome(String code) {
        return switch (code) {
            case "S" -> AttemptOutcome.FINISHED;
            case "E" -> AttemptOutcome.ERRED;
            case "F" -> AttemptOutcome.FULL;
            case "T" -> AttemptOutcome.TIMED_OUT;
            case "C" -> AttemptOutcome.NO_CONNECTION;
            case "R" -> AttemptOutcome.BROKEN;
            case "X" -> AttemptOutcome.CALLED_OFF;
            case "N" -> AttemptOutcome.NOT_SENT;
            default -> throw new InvalidInputException("Ended: unknown Disposition " + code);
        };
    }

    /** Writes all decisions of the policy, and a BailOut message if the policy has failed. */
    void writeDecisions(ReplyWriter out) {
        out.instanceName = name;
        if (failure == null) {
            try {
                boolean more = true;
                while (more) {
                    more = policy.decideNext(out);
                }
            } catch (UncheckedIOException e) {
                throw e;
            } catch (RuntimeException e) {
                failure = "deciding: " + e;
            }
        }
        if (failure != null) {
            out.writeFailure(failure);
        }
    }
}
