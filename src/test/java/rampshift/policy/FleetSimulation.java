package rampshift.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A discrete-event simulation of a fleet: the clock, the pending events, the random numbers and the workers.
 * Times are in milliseconds. Equal seeds give equal runs.
 */
final class FleetSimulation {
    private static final double START_MILLIS = 1_000_000;

    private record Event(double at, long number, Runnable action) {}

    /** The worker with id i is at index i - 1. */
    final List<SimulatedWorker> workers = new ArrayList<>();
    final Random random = new Random();
    /** The mean running time of a task at a warm worker. */
    final double meanRunMillis;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private double now = START_MILLIS;
    private long scheduled;

    FleetSimulation(double meanRunMillis) {
        this.meanRunMillis = meanRunMillis;
    }

    /** Drops all events and restarts, at the present time, with this many warm workers. */
    void restart(long seed, int workerCount) {
        random.setSeed(seed);
        events.clear();
        workers.clear();
        for (int id = 1; id <= workerCount; id++) {
            workers.add(SimulatedWorker.warm(this, id));
        }
    }

    double now() {
        return now;
    }

    /** Schedules an action; actions of the same time run in the order in which they were scheduled. */
    void at(double millis, Runnable action) {
        events.add(new Event(millis, scheduled, action));
        scheduled++;
    }

    void after(double millis, Runnable action) {
        at(now + millis, action);
    }

    /** Runs all events before that time. */
    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at < end) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.action.run();
        }
    }
}
