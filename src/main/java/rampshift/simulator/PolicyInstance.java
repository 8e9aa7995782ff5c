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

/** One simulated dispatcher: hands the events of messages to a dispatch policy and writes its decisions. */
final class PolicyInstance {
    /** What a note tells: the attempt has started. */
    private static final int NOTE_STARTED = 1;
    /** The bit of StateBits that says that ExpectedMs is valid. */
    private static final int EXPECTED_TIME_VALID = 1;

    private final String name;
    private final DispatchPolicy policy;
    private final int typeCount;
    private final String freeSlots;
    private final String freeMemory;
    /** Whether the batch being read holds an event for it. */
    boolean addressed;
    /** Whether the simulator has ended it, or started another of its name. */
    boolean retired;
    /** Why it decides nothing more; null while it does. */
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
    void clock(Moment now) {
        policy.setNow(now);
    }

    /** Takes in one event; a failure of the policy is kept and reported in the reply. */
    void event(String type, MessageFields fields) {
        if (!known(type)) {
            throw new InvalidInputException("a message with the unknown t " + type);
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

    private static boolean known(String type) {
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
                int number = (int) fields.whole("Try");
                if (fields.whole("What") == NOTE_STARTED) {
                    policy.onAttemptStarted(fields.whole("Ref"), number);
                } else {
                    policy.onAttemptProgress(fields.whole("Ref"), number, fields.number("Value", 0));
                }
            }
            case "Ended" -> {
                reportLoad(fields);
                policy.onAttemptEnded(fields.whole("Ref"), (int) fields.whole("Try"),
                        outcome(fields.text("Disposition")),
                        fields.flag("Terminal"));
            }
            case "Hangup" -> policy.onClientDisconnected(fields.whole("Ref"));
            case "Echo" -> {
                reportLoad(fields);
                policy.onProbeResult(fields.whole("Worker"), fields.text("Disposition").equals("S"));
            }
            case "Wakeup" -> policy.onTimer();
            default -> {
                // Attach is done; a stream's start and messages of other dispatchers are not used.
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
        for (int i = 0; i < fields.count; i++) {
            EndpointEntry entry = fields.entries.get(i);
            policy.onEndpoint(new ListedWorker(entry.worker, entry.site, entry.pod, entry.machine,
                    state(entry.state), Moment.ofMillis(entry.bornMs), entry.weight));
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
        int trafficType = fields.index("Priority");
        if (trafficType < 0 || trafficType >= typeCount) {
            throw new InvalidInputException("Arrival: no traffic type " + trafficType);
        }
        policy.onTaskArrived(fields.whole("Ref"),
                new TaskRequest(trafficType, fields.index("Owner"), expectedTime(fields),
                        fields.number("Width", 1),
                        fields.number("RamUnits", 0),
                        Span.ofMillis(fields.number("PatienceLeftMs", 0))));
    }

    private static Span expectedTime(MessageFields fields) {
        boolean valid = (fields.index("StateBits") & EXPECTED_TIME_VALID) != 0;
        return valid ? Span.ofMillis(Math.max(0, fields.number("ExpectedMs", 0))) : Span.ZERO;
    }

    private void reportLoad(MessageFields fields) {
        if (fields.load != null) {
            policy.onLoadReport(fields.whole("Worker"),
                    freeSlots == null ? Double.NaN : fields.load.number(freeSlots, Double.NaN),
                    fields.load.number("depth", Double.NaN), fields.load.number("concurrent", Double.NaN),
                    freeMemory == null ? Double.NaN : fields.load.number(freeMemory, Double.NaN));
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

    /** Writes the decisions one by one; where the policy has failed, one message that says so. */
    void answer(ReplyWriter out) {
        out.instance = name;
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
            out.bailOut(failure);
        }
    }
}
