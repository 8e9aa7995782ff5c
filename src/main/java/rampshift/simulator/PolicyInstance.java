package rampshift.simulator;

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

/** One dispatcher's decision module, and the turning of its messages into calls. */
final class PolicyInstance {
    private static final int JOB_BEGUN = 1;
    private static final int HINTED = 1;        // of StateBits
    private final String who;
    private final DispatchPolicy policy;
    private final int types;
    private final String freeSlots;
    private final String freeMemory;
    boolean heard;
    boolean retired;
    private String fault;

    PolicyInstance(String who, SettingsReader settings, long seed, Moment now) {
        if (settings == null) {
            throw new InvalidInputException("Attach without Setup");
        }
        this.who = who;
        var read = settings.read(seed);
        types = read.types.size();
        policy = new DispatchPolicy(read, now);
        freeSlots = settings.reportField("free slots");
        freeMemory = settings.reportField("free memory");
    }

    void clock(Moment now) {
        policy.setNow(now);
    }

    void event(String what, MessageFields f) {
        if (!known(what)) {
            throw new InvalidInputException("a message with the unknown t " + what);
        }
        if (fault != null) {
            return;
        }
        try {
            hear(what, f);
        } catch (InvalidInputException e) {
            throw e;
        } catch (RuntimeException e) {
            fault = what + ": " + e;
        }
    }

    private static boolean known(String what) {
        return switch (what) {
            case "Attach", "Fleet", "Arrival", "UnderWay", "Note", "Ended", "Hangup", "Wakeup", "Echo",
                    "NoteFrom" ->
                true;
            default -> false;
        };
    }

    private void hear(String what, MessageFields f) {
        switch (what) {
            case "Fleet" -> fleet(f);
            case "Arrival" -> arrival(f);
            case "Note" -> {
                int number = (int) f.whole("Try");
                if (f.whole("What") == JOB_BEGUN) {
                    policy.onAttemptStarted(f.whole("Ref"), number);
                } else {
                    policy.onAttemptProgress(f.whole("Ref"), number, f.number("Value", 0));
                }
            }
            case "Ended" -> {
                load(f);
                policy.onAttemptFinished(f.whole("Ref"), (int) f.whole("Try"), outcome(f.text("Disposition")),
                        f.flag("Terminal"));
            }
            case "Hangup" -> policy.onClientGone(f.whole("Ref"));
            case "Echo" -> {
                load(f);
                policy.onProbeResult(f.whole("Worker"), f.text("Disposition").equals("S"));
            }
            case "Wakeup" -> policy.onTimer();
            default -> {
            }   // Attach is done; a stream's start and peers' messages tell this module nothing
        }
    }

    private void fleet(MessageFields f) {
        String how = f.text("How");
        policy.onEndpointListBegin(switch (how) {
            case "failed" -> EndpointListKind.FAILED;
            case "delta" -> EndpointListKind.CHANGES;
            case "full" -> EndpointListKind.WHOLE;
            case "cached" -> EndpointListKind.CACHED;
            default -> throw new InvalidInputException("Fleet: unknown How " + how);
        });
        for (int i = 0; i < f.count; i++) {
            EndpointEntry e = f.entries.get(i);
            policy.onEndpoint(new ListedWorker(
                    e.worker, e.site, e.pod, e.machine, e.state.equals("IN") ? EndpointState.READY
                            : e.state.equals("LAME") ? EndpointState.DRAINING
                                    : EndpointState.GONE,
                    Moment.ofMillis(e.bornMs), e.weight));
        }
        policy.onEndpointListEnd();
    }

    private void arrival(MessageFields f) {
        int type = f.index("Priority");
        if (type < 0 || type >= types) {
            throw new InvalidInputException("Arrival: no traffic type " + type);
        }
        policy.onTaskArrived(f.whole("Ref"),
                new TaskRequest(type, f.index("Owner"), hint(f), f.number("Width", 1),
                        f.number("RamUnits", 0),
                        Span.ofMillis(f.number("PatienceLeftMs", 0))));
    }

    private static Span hint(MessageFields f) {
        boolean valid = (f.index("StateBits") & HINTED) != 0;
        return valid ? Span.ofMillis(Math.max(0, f.number("ExpectedMs", 0))) : Span.ZERO;
    }

    private void load(MessageFields f) {
        if (f.load != null) {
            policy.onLoadReport(f.whole("Worker"),
                    freeSlots == null ? Double.NaN : f.load.number(freeSlots, Double.NaN),
                    f.load.number("depth", Double.NaN), f.load.number("concurrent", Double.NaN),
                    freeMemory == null ? Double.NaN : f.load.number(freeMemory, Double.NaN));
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

    /** Pulls the decisions one by one; a fault of the module becomes one whole message. */
    void answer(ReplyWriter out) {
        out.who = who;
        if (fault == null) {
            try {
                while (policy.decideNext(out)) {
                    continue;
                }
            } catch (java.io.UncheckedIOException e) {
                throw e;
            } catch (RuntimeException e) {
                fault = "deciding: " + e;
            }
        }
        if (fault != null) {
            out.bailOut(fault);
        }
    }
}
