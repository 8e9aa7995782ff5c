package rampshift;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Simulated time for tests of many processes. Runs events in the order of their time, and those of the same
 * time in the order of scheduling.
 */
public class EventSimulation {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double TIMED_OUT = -1;

    private record Event(long time, long number, Runnable action) {
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private long scheduled;
    /** Current time in microseconds since the start. */
    protected long now;
    /** Number of events that have run. */
    public long eventCount;

    /** Schedules an action at a time in microseconds since the start. */
    protected final void schedule(long time, Runnable action) {
        scheduled++;
        events.add(new Event(time, scheduled, action));
    }

    /** Advances the time by a number of seconds, and runs the events that are due. */
    public void advance(double seconds) {
        long end = now + Math.round(seconds * MICROS_PER_SECOND);
        while (!events.isEmpty() && events.peek().time <= end) {
            Event next = events.poll();
            now = next.time;
            next.action.run();
            eventCount++;
        }
        now = end;
    }

    /**
     * Advances until the condition holds, which is tested after each step. All times are in seconds.
     *
     * @return the time until the condition holds, or -1 if it does not hold within the limit
     */
    public double advanceUntil(double limit, double step, BooleanSupplier condition) {
        long start = now;
        while (!condition.getAsBoolean()) {
            if ((now - start) / MICROS_PER_SECOND >= limit) {
                return TIMED_OUT;
            }
            advance(step);
        }
        return (now - start) / MICROS_PER_SECOND;
    }
}
