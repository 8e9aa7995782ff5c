package rampshift;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Simulated time for stories of many processes: what is due, in order of its time, then of its asking. */
public class EventSimulation {
    private record Due(long at, long number, Runnable what) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                    : Long.compare(a.number, b.number));
    private long numbers;
    /** Microseconds since the begin. */
    protected long now;
    public long played;

    protected final void schedule(long when, Runnable what) {
        due.add(new Due(when, ++numbers, what));
    }

    /** Goes on for so many seconds. */
    public void advance(double seconds) {
        long end = now + Math.round(seconds * 1_000_000);
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            next.what.run();
            played++;
        }
        now = end;
    }

    /** Goes on until it is so, looking each step of so many seconds; the seconds that took, or -1. */
    public double advanceUntil(double most, double step, BooleanSupplier so) {
        long from = now;
        while (!so.getAsBoolean()) {
            if ((now - from) / 1e6 >= most) {
                return -1;
            }
            advance(step);
        }
        return (now - from) / 1e6;
    }
}
