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
import rampshift.policy.EndpointListKind;
import rampshift.policy.EndpointState;
import rampshift.policy.ListedWorker;
import rampshift.policy.Settings;
import rampshift.policy.TaskRequest;
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
    private final DispatchPolicy policy;
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
        policy = new DispatchPolicy(settings, clock.now());
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
                    policy.setNow(clock.now());
                    heard.poll().run();
                    while (policy.decideNext(this)) {
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
    public void onEndpointList(EndpointList list, boolean remembered) {
        boolean whole = list.complete() || remembered;
        if (whole) {
            pool.beginFullList();
        }
        for (Endpoint t : list.endpoints()) {
            pool.updateWorker(uids.number(t.uid()), t.uid(), t.address(), t.zone() + '/' + t.kind(),
                    t.startedAtMillis(),
                    t.state() == Endpoint.State.READY);
        }
        if (whole) {
            pool.endFullList();
        }
        hear(() -> {
            policy.onEndpointListBegin(remembered ? EndpointListKind.CACHED
                    : whole ? EndpointListKind.WHOLE : EndpointListKind.CHANGES);
            for (Endpoint endpoint : list.endpoints()) {
                policy.onEndpoint(listedWorker(endpoint));
            }
            policy.onEndpointListEnd();
        });
    }

    /**
     * The list service is asked anew: at the start, where it may long have had news, or at another address.
     */
    public void onEndpointListAwaited(boolean atStart) {
        hear(() -> policy.onEndpointListAwaited(atStart));
    }

    /** The list service can't be reached: the list that there is goes on. */
    public void onEndpointListFailed() {
        hear(() -> {
            policy.onEndpointListBegin(EndpointListKind.FAILED);
            policy.onEndpointListEnd();
        });
    }

    private ListedWorker listedWorker(Endpoint endpoint) {
        return new ListedWorker(uids.number(endpoint.uid()), index(platform.zones(), endpoint.zone()),
                endpoint.cell(), index(platform.kinds(), endpoint.kind()), policyState(endpoint.state()),
                Moment.ofMillis(endpoint.startedAtMillis()), endpoint.weight());
    }

    private static EndpointState policyState(Endpoint.State state) {
        return switch (state) {
            case READY -> EndpointState.READY;
            case DRAINING -> EndpointState.DRAINING;
            case REMOVED -> EndpointState.GONE;
        };
    }

    /** A name that the settings do not know stands after all that they do. */
    private static int index(List<String> names, String name) {
        int i = names.indexOf(name);
        return i < 0 ? names.size() : i;
    }

    void task(InFlightTask task) {
        task.call.onDisconnect(() -> hear(() -> {
            relay.clientLeft(task);
            policy.onClientGone(task.id);
            book.settle(task);
        }));
        hear(() -> policy.onTaskArrived(task.id,
                new TaskRequest(task.type, task.tenant, Span.ZERO, task.width, task.memory,
                        task.expiry.since(clock.now()))));
    }

    /**
     * The end has come: the clients that still wait are told so, bounced where that is lawful, instead of
     * being cut off.
     */
    public void endAllTasks() {
        for (InFlightTask task : book.inHand()) {
            hear(() -> policy.onShutdown(task.id));
        }
    }

    void begun(InFlightTask task, int number) {
        hear(() -> policy.onAttemptStarted(task.id, number));
    }

    void progressed(InFlightTask task, int number, double share) {
        hear(() -> policy.onAttemptProgress(task.id, number, share));
    }

    void reported(long worker, LoadReport load) {
        hear(() -> policy.onLoadReport(worker, load.freeSlots(), load.queued(), load.inFlight(),
                load.freeMemory()));
    }

    void ended(InFlightTask task, int number, AttemptOutcome outcome, byte[] result) {
        if (outcome == AttemptOutcome.FINISHED) {
            relay.finished(task, result);
        }
        hear(() -> {
            policy.onAttemptFinished(task.id, number, outcome, task.closed);
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
        hear(() -> policy.onProbeResult(worker, answered));
    }

    // ---- what is decided

    @Override
    public void forward(long task, long worker, Span timeout) {
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
    public void reject(long task, Span comeBackAfter) {
        InFlightTask held = book.get(task);
        relay.bounced(held, comeBackAfter);
        book.settle(held);
    }

    @Override
    public void fail(long task) {
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
        wake = IoTimer.notBefore(thread, when.since(clock.now()), () -> hear(policy::onTimer));
    }
}
