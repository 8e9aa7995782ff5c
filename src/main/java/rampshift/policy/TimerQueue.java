package rampshift.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import rampshift.time.Moment;

/**
 * Timers of tasks, in the order of their moments; those of equal moments in the order in which they were set.
 */
final class TimerQueue {
    private record Timer(Moment at, long order, Task task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::order));
    private long order;

    /** Sets a timer; the task is null if only the host is to wake up. */
    void set(Moment at, Task task) {
        timers.add(new Timer(at, order++, task));
    }

    /** Returns whether a timer is due; {@link #poll} then returns its task. */
    boolean due(Moment now) {
        return !timers.isEmpty() && !now.before(timers.peek().at());
    }

    Task poll() {
        return timers.poll().task();
    }

    /** Returns when the next timer is due; null where none is set. */
    Moment next() {
        return timers.isEmpty() ? null : timers.peek().at();
    }
}
