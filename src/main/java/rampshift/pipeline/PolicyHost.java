package rampshift.pipeline;

import java.util.ArrayDeque;
import org.xnio.XnioIoThread;
import rampshift.discovery.EndpointList;
import rampshift.log.Log;
import rampshift.policy.AttemptOutcome;
import rampshift.policy.Decisions;
import rampshift.policy.DispatchPolicy;
import rampshift.policy.EndpointListKind;
import rampshift.policy.Settings;
import rampshift.policy.TaskRequest;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.ReadBarrier;
import rampshift.time.Span;
import rampshift.workers.LoadReport;

/** Hosts the dispatch policy: passes each event to it, then executes its decisions one by one. */
public final class PolicyHost implements Decisions {
    /** The lateness of a wake-up above which pending input is read before the wake-up is reported. */
    private static final Span MAX_WAKE_UP_LATENESS = Span.ofMillis(5);

    private final XnioIoThread thread;
    private final ReadBarrier readBarrier;
    private final Clock clock;
    private final DispatchPolicy policy;
    private final EndpointListUpdater endpoints;
    private final TaskRegistry registry;
    private final AttemptSender sender;
    private final Responder responder;
    /** Events to process. Those that arrive while one is processed wait until its decisions are executed. */
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean processing;
    private IoTimer wakeUpTimer;

    /** Creates the host of a new policy. */
    public PolicyHost(XnioIoThread thread, Clock clock, Settings settings, EndpointListUpdater endpoints,
            TaskRegistry registry, AttemptSender sender, Responder responder) {
        this.thread = thread;
        readBarrier = new ReadBarrier(thread);
        this.clock = clock;
        this.endpoints = endpoints;
        this.registry = registry;
        this.sender = sender;
        this.responder = responder;
        policy = new DispatchPolicy(settings, clock.now());
    }

    /** Stops the timer. */
    public void close() {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
    }

    // ---- events

    private void onEvent(Runnable event) {
        events.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (!events.isEmpty()) {
                processNextEvent();
            }
        } finally {
            processing = false;
        }
    }

    private void processNextEvent() {
        try {
            policy.setNow(clock.now());
            events.poll().run();
            boolean hasMore = true;
            while (hasMore) {
                hasMore = policy.decideNext(this);
            }
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Log.error("internal-error", "thrown", e, "at", trace.length == 0 ? "?" : trace[0]);
        }
    }

    /**
     * Applies an endpoint list to the pool and to the policy. While an event is processed, the pool is
     * updated at once, and the policy after the decisions on that event.
     *
     * @param cached whether the list was stored by an earlier process and may be out of date
     */
    public void onEndpointList(EndpointList list, boolean cached) {
        boolean complete = list.complete() || cached;
        endpoints.updatePool(list, complete);
        EndpointListKind kind = listKind(complete, cached);
        onEvent(() -> endpoints.updatePolicy(policy, list, kind));
    }

    private static EndpointListKind listKind(boolean complete, boolean cached) {
        if (cached) {
            return EndpointListKind.CACHED;
        }
        return complete ? EndpointListKind.FULL : EndpointListKind.DELTA;
    }

    /**
     * Reports that a new endpoint list is requested from the discovery service.
     *
     * @param atStart whether the dispatcher has just started, so that the known list may be far out of date;
     *     otherwise the address of the discovery service has changed
     */
    public void onEndpointListAwaited(boolean atStart) {
        onEvent(() -> policy.onEndpointListAwaited(atStart));
    }

    /** Reports that the discovery service can't be reached. The current list stays in use. */
    public void onEndpointListFailed() {
        onEvent(() -> endpoints.reportFailure(policy));
    }

    void onTask(InFlightTask task) {
        task.request().onDisconnect(() -> onEvent(() -> {
            responder.recordClientLeft(task);
            policy.onClientDisconnected(task.id());
            registry.removeIfCompleted(task);
        }));
        TaskDescription description = task.description();
        onEvent(() -> policy.onTaskArrived(task.id(),
                new TaskRequest(description.type(), description.tenant(), Span.ZERO, description.slots(),
                        description.memory(), task.deadline().since(clock.now()))));
    }

    /**
     * Ends all tasks, since the dispatcher stops. Clients that still wait are rejected, where a retry is
     * safe, or receive a failure.
     */
    public void endAllTasks() {
        for (InFlightTask task : registry.all()) {
            onEvent(() -> policy.onShutdown(task.id()));
        }
    }

    void onAttemptStarted(InFlightTask task, int number) {
        onEvent(() -> policy.onAttemptStarted(task.id(), number));
    }

    void onProgress(InFlightTask task, int number, double share) {
        onEvent(() -> policy.onAttemptProgress(task.id(), number, share));
    }

    void onLoadReport(long worker, LoadReport load) {
        onEvent(() -> policy.onLoadReport(worker, load.freeSlots(), load.queued(), load.inFlight(),
                load.freeMemory()));
    }

    void onAttemptEnded(InFlightTask task, int number, AttemptOutcome outcome, byte[] result) {
        if (outcome == AttemptOutcome.FINISHED) {
            responder.sendResult(task, result);
        }
        onEvent(() -> {
            policy.onAttemptEnded(task.id(), number, outcome, task.isAnswered());
            registry.removeIfCompleted(task);
        });
    }

    void onHealthCheckResult(long worker, boolean answered, LoadReport load) {
        if (load != null) {
            onLoadReport(worker, load);
        }
        onEvent(() -> policy.onProbeResult(worker, answered));
    }

    // ---- decisions

    @Override
    public void forward(long task, long worker, Span timeout) {
        sender.send(this, registry.get(task), worker, timeout);
    }

    @Override
    public void cancel(long task, int attempt) {
        InFlightTask inFlight = registry.get(task);
        if (inFlight != null) {
            sender.cancel(inFlight, attempt);
        }
    }

    @Override
    public void reject(long task, Span retryAfter) {
        InFlightTask inFlight = registry.get(task);
        responder.sendRejection(inFlight, retryAfter);
        registry.removeIfCompleted(inFlight);
    }

    @Override
    public void fail(long task) {
        InFlightTask inFlight = registry.get(task);
        responder.sendFailure(inFlight);
        registry.removeIfCompleted(inFlight);
    }

    @Override
    public void probe(long worker) {
        sender.checkHealth(this, worker);
    }

    @Override
    public void subscribe() {
        // The endpoint watch runs at all times.
    }

    @Override
    public void wakeAt(Moment when) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        // After an early wake-up the policy would request the same one again, and the thread would spin for
        // most of a millisecond.
        wakeUpTimer = IoTimer.notBefore(thread, when.since(clock.now()), () -> onWakeUp(when));
    }

    /**
     * Reports a wake-up to the policy. If it is late, pending input is read first: the policy would take the
     * unread messages of workers for missed starts and finishes.
     */
    private void onWakeUp(Moment when) {
        if (clock.now().since(when).longerThan(MAX_WAKE_UP_LATENESS)) {
            wakeUpTimer = IoTimer.timeout(thread, Span.ZERO, readBarrier, () -> onEvent(policy::onTimer));
        } else {
            onEvent(policy::onTimer);
        }
    }
}
