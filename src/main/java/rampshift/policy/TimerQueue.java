package rampshift.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import rampshift.time.Moment;

/**
 * Timers of tasks, in the order of their moments; those of equal moments in the order in which they were set.
 * A timer names its task by the id: most tasks end long before their timers, and a reference would keep them
 * in memory until then.
 */
final class TimerQueue {
    /** A timer, of a task or only to wake up the host. */
    record Timer(Moment at, long order, boolean isOfTask, long taskId) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::order));
    private long order;

    /** Sets a timer of the task with the id. */
    void set(Moment at, long taskId) {
        timers.add(new Timer(at, order++, true, taskId));
    }

    /** Sets a timer that only wakes up the host. */
    void setWakeUp(Moment at) {
        timers.add(new Timer(at, order++, false, 0));
    }

    /** Returns whether a timer is due; {@link #poll} then returns it. */
    boolean due(Moment now) {
        return !timers.isEmpty() && !now.before(timers.peek().at());
    }

    Timer poll() {
        return timers.poll();
    }

    /** Returns when the next timer is due; null where none is set. */
    Moment next() {
        return timers.isEmpty() ? null : timers.peek().at();
    }
}
