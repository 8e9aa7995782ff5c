package rampshift.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;

/**
 * The tasks in flight, the queue of those that await a decision, their timers, and attempts to be cancelled.
 */
final class TaskQueue {
    private final Map<Long, Task> tasksById = new HashMap<>(); // looked up, never iterated
    private final ArrayDeque<Task> pending = new ArrayDeque<>();
    private final ArrayDeque<Task> parked = new ArrayDeque<>();
    private final ArrayDeque<Attempt> cancels = new ArrayDeque<>();
    private final TimerQueue timers = new TimerQueue();

    void register(Task task) {
        tasksById.put(task.id, task);
    }

    void remove(Task task) {
        tasksById.remove(task.id);
    }

    /** Returns the task in flight with the id, or null. */
    Task find(long id) {
        return tasksById.get(id);
    }

    /** Returns the attempt of the task with the number, or null. */
    Attempt find(long id, int number) {
        Task task = tasksById.get(id);
        boolean isKnown = task != null && number >= 0 && number < task.attempts.size();
        return isKnown ? task.attempts.get(number) : null;
    }

    /** Queues the task for a decision, behind the others; a queued task is not queued twice. */
    void enqueue(Task task) {
        if (!task.queued) {
            task.queued = true;
            pending.add(task);
        }
    }

    /** Queues the task, which is being decided, for another decision before all others. */
    void enqueueFirst(Task task) {
        task.queued = true;
        pending.addFirst(task);
    }

    /** Returns the next open task that awaits a decision, or null. */
    Task poll() {
        while (!pending.isEmpty()) {
            Task task = pending.poll();
            task.queued = false;
            if (!task.closed) {
                return task;
            }
        }
        return null;
    }

    /** Holds the task back until {@link #unparkAll}. */
    void park(Task task) {
        parked.add(task);
    }

    /** Queues all tasks that were held back. */
    void unparkAll() {
        parked.forEach(this::enqueue);
        parked.clear();
    }

    /** Queues the attempt for a cancel message. */
    void cancel(Attempt attempt) {
        cancels.add(attempt);
    }

    /** Returns the next attempt to cancel that has not ended meanwhile, or null. */
    Attempt pollCancel() {
        while (!cancels.isEmpty()) {
            Attempt attempt = cancels.poll();
            if (!attempt.ended) {
                return attempt;
            }
        }
        return null;
    }

    /** Schedules a decision on the task at the moment. */
    void decideAt(Moment at, Task task) {
        timers.set(at, task.id);
    }

    /** Has the host wake up at the moment, without a decision on a task. */
    void wakeUpAt(Moment at) {
        timers.setWakeUp(at);
    }

    /**
     * Schedules a review of the task, unless one is due by then already. Each review schedules the next one:
     * with a timer for each call, a task would be reviewed ever more often the longer it is in flight.
     */
    void reviewAt(Moment at, Moment now, Task task) {
        boolean isSooner = task.nextReviewAt != null && now.before(task.nextReviewAt)
                && !at.before(task.nextReviewAt);
        if (!isSooner) {
            task.nextReviewAt = at;
            timers.set(at, task.id);
        }
    }

    /** Queues the open tasks whose timers are due. */
    void enqueueDue(Moment now) {
        while (timers.due(now)) {
            TimerQueue.Timer timer = timers.poll();
            Task task = timer.isOfTask() ? tasksById.get(timer.taskId()) : null;
            if (task != null && !task.closed) {
                enqueue(task);
            }
        }
    }

    /** Returns when the next timer is due; null where none is set. */
    Moment nextTimer() {
        return timers.next();
    }
}
