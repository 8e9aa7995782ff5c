package rampshift.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import rampshift.time.Moment;

/** Moments at which a task is looked at again, in their order and those alike in the order they were set. */
final class TimerQueue {
    private record Timer(Moment at, long order, Task task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparingLong(Timer::order));
    private long order;

    /** The task may be null: then it is only the host that is to wake up. */
    void set(Moment at, Task task) {
        timers.add(new Timer(at, order++, task));
    }

    /** Whether one is due; then {@link #poll} gives its task. */
    boolean due(Moment now) {
        return !timers.isEmpty() && !now.before(timers.peek().at());
    }

    Task poll() {
        return timers.poll().task();
    }

    /** When the next one is due; null where none waits. */
    Moment next() {
        return timers.isEmpty() ? null : timers.peek().at();
    }
}
