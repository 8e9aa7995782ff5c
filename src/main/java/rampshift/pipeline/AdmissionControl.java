package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Admits a task, or rejects it: beyond the bounds on tasks in flight, past its time, or during a stop. That
 * is harmless, since nothing was forwarded yet. The policy rejects by what it expects of workers.
 */
public final class AdmissionControl {
    private final int maxTasks;
    private final long maxBytes;
    private final Span overloadRetryAfter;
    private final AdmissionWindow window;
    private final Clock clock;
    private final Counters counters;
    private final TaskRegistry registry;
    private final Responder responder;
    private final PolicyHost policyHost;
    private Moment limitDeadlinesFrom;
    private Moment latestDeadline;
    private boolean closed;

    /**
     * Creates an admission control that is open.
     *
     * @param maxTasks the most tasks in flight
     * @param maxBytes the most bytes that the messages of the tasks in flight may take together
     * @param overloadRetryAfter when a client may retry that was rejected for overload; zero to tell none
     */
    public AdmissionControl(int maxTasks, long maxBytes, Span overloadRetryAfter, AdmissionWindow window,
            Clock clock, Counters counters, TaskRegistry registry, Responder responder,
            PolicyHost policyHost) {
        this.maxTasks = maxTasks;
        this.maxBytes = maxBytes;
        this.overloadRetryAfter = overloadRetryAfter;
        this.window = window;
        this.clock = clock;
        this.counters = counters;
        this.registry = registry;
        this.responder = responder;
        this.policyHost = policyHost;
    }

    /**
     * The dispatcher will stop: tasks that are admitted from some moment on have no deadline beyond another.
     */
    public void limitDeadlines(Moment from, Moment latest) {
        limitDeadlinesFrom = from;
        latestDeadline = latest;
    }

    /** Rejects all tasks from now on: they would not end before the dispatcher stops. */
    public void close() {
        closed = true;
    }

    /** Admits a task and passes it on, or rejects it. */
    void admit(InFlightTask task) {
        Counters.Name rejection = reasonToReject(task);
        if (rejection != null) {
            counters.add(rejection);
            boolean isOverload = rejection == Counters.Name.TASKS_REJECTED_OVERLOAD;
            responder.rejected(task, isOverload ? overloadRetryAfter : Span.ZERO);
            return;
        }
        if (latestDeadline != null && !clock.now().before(limitDeadlinesFrom)) {
            task.limitDeadline(latestDeadline);
        }
        counters.add(Counters.Name.TASKS_ADMITTED);
        registry.add(task);
        policyHost.onTask(task);
    }

    /** Returns the counter of the reason; null if the task is to be admitted. */
    private Counters.Name reasonToReject(InFlightTask task) {
        if (closed) {
            return Counters.Name.TASKS_REJECTED_STOPPING;
        }
        if (!clock.now().before(task.deadline())) {
            return Counters.Name.TASKS_REJECTED_LATE;     // it was unread while this process was stalled
        }
        if (registry.size() >= maxTasks || registry.byteCount() + task.byteCount() > maxBytes) {
            Log.warn("load-shed", "tasks", registry.size(), "bytes", registry.byteCount());
            return Counters.Name.TASKS_REJECTED_OVERLOAD;
        }
        return window.isOpen() ? null : Counters.Name.TASKS_REJECTED_OVERLOAD;
    }
}
