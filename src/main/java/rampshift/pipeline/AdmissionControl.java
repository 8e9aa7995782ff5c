package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Admits a task, or rejects it if too many tasks are in flight, its deadline has passed, the I/O thread is
 * overloaded, or the dispatcher is stopping. A task that is rejected here was not forwarded, so its client
 * may retry it safely. Rejections that depend on the expected capacity of workers are up to the policy.
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
     * @param maxTasks the maximum number of tasks in flight
     * @param maxBytes the maximum memory that the tasks in flight may take up, in bytes
     * @param overloadRetryAfter the delay after which a client that was rejected for overload may retry;
     *     zero to send no Retry-After
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
     * Limits the deadlines of the tasks that are still to be admitted, since the dispatcher will stop.
     *
     * @param from tasks that are admitted at this moment or later are limited
     * @param latest the latest deadline that they may have
     */
    public void limitDeadlines(Moment from, Moment latest) {
        limitDeadlinesFrom = from;
        latestDeadline = latest;
    }

    /** Rejects all tasks from now on, since they would not end before the dispatcher stops. */
    public void close() {
        closed = true;
    }

    /** Admits a task and passes it to the policy, or rejects it. */
    void admit(InFlightTask task) {
        Counters.Name rejection = reasonToReject(task);
        if (rejection != null) {
            counters.add(rejection);
            boolean isOverload = rejection == Counters.Name.TASKS_REJECTED_OVERLOAD;
            responder.sendRejection(task, isOverload ? overloadRetryAfter : Span.ZERO);
            return;
        }
        if (latestDeadline != null && !clock.now().before(limitDeadlinesFrom)) {
            task.limitDeadline(latestDeadline);
        }
        counters.add(Counters.Name.TASKS_ADMITTED);
        registry.add(task);
        policyHost.onTask(task);
    }

    /** Returns the counter of the reason to reject a task; null if the task is to be admitted. */
    private Counters.Name reasonToReject(InFlightTask task) {
        if (closed) {
            return Counters.Name.TASKS_REJECTED_STOPPING;
        }
        if (!clock.now().before(task.deadline())) {
            return Counters.Name.TASKS_REJECTED_LATE;     // unread while this process was stalled
        }
        if (registry.size() >= maxTasks || registry.heldBytes() + task.heldBytes() > maxBytes) {
            Log.warn("load-shed", "tasks", registry.size(), "bytes", registry.heldBytes());
            return Counters.Name.TASKS_REJECTED_OVERLOAD;
        }
        return window.isOpen() ? null : Counters.Name.TASKS_REJECTED_OVERLOAD;
    }
}
