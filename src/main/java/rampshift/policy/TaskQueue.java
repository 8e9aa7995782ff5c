package rampshift.policy;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;

/** The tasks in flight, those that await a decision, and the attempts that await a cancel message. */
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

    /** The task, or null where none of this id is in flight. */
    Task find(long id) {
        return tasksById.get(id);
    }

    /** The attempt, or null where there is none of this number. */
    Attempt find(long id, int number) {
        Task task = tasksById.get(id);
        boolean isKnown = task != null && number >= 0 && number < task.attempts.size();
        return isKnown ? task.attempts.get(number) : null;
    }

    /** Lets the task be decided after those that wait already. */
    void enqueue(Task task) {
        if (!task.queued) {
            task.queued = true;
            pending.add(task);
        }
    }

    /** Lets the task, which is being decided, be decided once more before all others. */
    void enqueueFirst(Task task) {
        task.queued = true;
        pending.addFirst(task);
    }

    /** The next open task that awaits a decision, or null. */
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

    /** Keeps the task until {@link #unparkAll}. */
    void park(Task task) {
        parked.add(task);
    }

    void unparkAll() {
        parked.forEach(this::enqueue);
        parked.clear();
    }

    void cancel(Attempt attempt) {
        cancels.add(attempt);
    }

    /** The next attempt to cancel that has not ended meanwhile, or null. */
    Attempt pollCancel() {
        while (!cancels.isEmpty()) {
            Attempt attempt = cancels.poll();
            if (!attempt.ended) {
                return attempt;
            }
        }
        return null;
    }

    /** Lets the task be decided again at that moment; a null task only wakes the host. */
    void decideAt(Moment at, Task task) {
        timers.set(at, task);
    }

    /**
     * Has the task reviewed at that moment, unless it is before. Each review asks for the next one, so that a
     * timer for each request had a task reviewed ever more often, the longer it was in flight.
     */
    void reviewAt(Moment at, Moment now, Task task) {
        boolean isSooner = task.nextReviewAt != null && now.before(task.nextReviewAt)
                && !at.before(task.nextReviewAt);
        if (!isSooner) {
            task.nextReviewAt = at;
            timers.set(at, task);
        }
    }

    /** Enqueues the tasks whose timers are due. */
    void enqueueDue(Moment now) {
        while (timers.due(now)) {
            Task task = timers.poll();
            if (task != null && !task.closed) {
                enqueue(task);
            }
        }
    }

    /** When the next timer is due; null where none is set. */
    Moment nextTimer() {
        return timers.next();
    }
}
