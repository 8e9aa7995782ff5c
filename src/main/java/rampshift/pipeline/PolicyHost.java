package rampshift.pipeline;

import java.util.ArrayDeque;
import java.util.List;
import org.xnio.XnioIoThread;
import rampshift.counters.Counters;
import rampshift.discovery.Endpoint;
import rampshift.discovery.EndpointList;
import rampshift.log.Log;
import rampshift.policy.AttemptOutcome;
import rampshift.policy.Decisions;
import rampshift.policy.DispatchPolicy;
import rampshift.policy.Settings;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.workers.ConnectionPool;
import rampshift.workers.LoadReport;

/**
 * Third stage: the host of the decision module. Whatever is heard goes straight into a call on it, then its
 * decisions are pulled one by one and carried out straight away.
 */
public final class PolicyHost implements Decisions {
    private final XnioIoThread thread;
    private final Clock clock;
    private final DispatchPolicy choice;
    private final HostSettings platform;
    private final ConnectionPool pool;
    private final TaskRegistry book;
    private final AttemptSender send;
    private final Responder relay;
    private final WorkerIds uids = new WorkerIds();
    /** What is heard while decisions are carried out waits until they are. */
    private final ArrayDeque<Runnable> heard = new ArrayDeque<>();
    private boolean deciding;
    private IoTimer wake;

    public PolicyHost(XnioIoThread thread, Clock clock, Settings settings, HostSettings platform,
            ConnectionPool pool, TaskRegistry book,
            AttemptSender send, Responder relay) {
        this.thread = thread;
        this.clock = clock;
        this.platform = platform;
        this.pool = pool;
        this.book = book;
        this.send = send;
        this.relay = relay;
        choice = new DispatchPolicy(settings, clock.now());
    }

    /** Gives back the timer. */
    public void close() {
        if (wake != null) {
            wake.cancel();
        }
    }

    // ---- what is heard

    private void hear(Runnable input) {
        heard.add(input);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!heard.isEmpty()) {
                try {
                    choice.clock(clock.now());
                    heard.poll().run();
                    while (choice.next(this)) {
                        continue;
                    }
                } catch (RuntimeException e) {
                    StackTraceElement[] at = e.getStackTrace();
                    Log.error("fault", "thrown", e, "at", at.length == 0 ? "?" : at[0]);
                }
            }
        } finally {
            deciding = false;
        }
    }

    /**
     * {@code remembered}: the list had before the start, perhaps old. It may come in the midst of a decision;
     * then it
     * binds what is sent at once, and the module hears of it after that decision.
     */
    public void listed(EndpointList list, boolean remembered) {
        boolean whole = list.complete() || remembered;
        if (whole) {
            pool.beginWhole();
        }
        for (Endpoint t : list.endpoints()) {
            pool.listed(uids.number(t.uid()), t.uid(), t.address(), t.zone() + '/' + t.kind(),
                    t.startedAtMillis(),
                    t.state() == Endpoint.State.READY);
        }
        if (whole) {
            pool.endWhole();
        }
        hear(() -> {
            choice.listBegins(remembered ? DispatchPolicy.List.REMEMBERED
                    : whole ? DispatchPolicy.List.WHOLE : DispatchPolicy.List.CHANGES);
            for (Endpoint t : list.endpoints()) {
                choice.listed(uids.number(t.uid()), index(platform.zones(), t.zone()), t.cell(),
                        index(platform.kinds(), t.kind()), listedAs(t.state()),
                        Moment.ofMillis(t.startedAtMillis()), t.weight());
            }
            choice.listEnds();
        });
    }

    /**
     * The list service is asked anew: at the start, where it may long have had news, or at another address.
     */
    public void listAwaited(boolean atStart) {
        hear(() -> choice.listAwaited(atStart));
    }

    /** The list service can't be reached: the list that there is goes on. */
    public void listFailed() {
        hear(() -> {
            choice.listBegins(DispatchPolicy.List.FAILED);
            choice.listEnds();
        });
    }

    private static DispatchPolicy.Listed listedAs(Endpoint.State state) {
        return switch (state) {
            case READY -> DispatchPolicy.Listed.READY;
            case DRAINING -> DispatchPolicy.Listed.DRAINING;
            case REMOVED -> DispatchPolicy.Listed.GONE;
        };
    }

    /** A name that the settings do not know stands after all that they do. */
    private static int index(List<String> names, String name) {
        int i = names.indexOf(name);
        return i < 0 ? names.size() : i;
    }

    void task(InFlightTask task) {
        task.call.onGone(() -> hear(() -> {
            relay.clientLeft(task);
            choice.clientLeft(task.id);
            book.settle(task);
        }));
        hear(() -> choice.arrived(task.id, task.type, task.tenant, Span.ZERO, task.width, task.memory,
                task.expiry.since(clock.now())));
    }

    /**
     * The end has come: the clients that still wait are told so, bounced where that is lawful, instead of
     * being cut off.
     */
    public void giveUp() {
        for (InFlightTask task : book.inHand()) {
            hear(() -> choice.cutShort(task.id));
        }
    }

    void begun(InFlightTask task, int number) {
        hear(() -> choice.begun(task.id, number));
    }

    void progressed(InFlightTask task, int number, double share) {
        hear(() -> choice.progressed(task.id, number, share));
    }

    void reported(long worker, LoadReport load) {
        hear(() -> choice.reported(worker, load.free(), load.queued(), load.held(), load.memoryFree()));
    }

    void ended(InFlightTask task, int number, AttemptOutcome outcome, byte[] result) {
        if (outcome == AttemptOutcome.FINISHED) {
            relay.finished(task, result);
        }
        hear(() -> {
            choice.ended(task.id, number, outcome, task.closed);
            book.settle(task);
        });
    }

    void echoed(long worker, boolean answered, LoadReport load) {
        if (answered) {
            book.count(Counters.Name.HEALTH_CHECKS_ANSWERED);
        }
        if (load != null) {
            reported(worker, load);
        }
        hear(() -> choice.echoed(worker, answered));
    }

    // ---- what is decided

    @Override
    public void assign(long task, long worker, Span timeout) {
        send.assign(this, book.get(task), worker, timeout);
    }

    @Override
    public void cancel(long task, int assignment) {
        InFlightTask held = book.get(task);
        if (held != null) {
            send.cancel(held, assignment);
        }
    }

    @Override
    public void bounce(long task, Span comeBackAfter) {
        InFlightTask held = book.get(task);
        relay.bounced(held, comeBackAfter);
        book.settle(held);
    }

    @Override
    public void abandon(long task) {
        InFlightTask held = book.get(task);
        relay.abandoned(held);
        book.settle(held);
    }

    @Override
    public void probe(long worker) {
        send.probe(this, worker);
    }

    @Override
    public void subscribe() {
        // The watch on discovery is kept at all times.
    }

    @Override
    public void wakeAt(Moment when) {
        if (wake != null) {
            wake.cancel();
        }
        // Woken too soon, the module asked again at once, and the thread spun for most of a millisecond
        // before each.
        wake = IoTimer.notBefore(thread, when.since(clock.now()), () -> hear(choice::woken));
    }
}
