package rampshift.policy;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A worker that runs a few tasks at once and queues the rest. After a cold start it is slow, and compares
 * what it is sent with what it may be sent.
 */
final class SimulatedWorker {
    static final int SLOTS = 4;
    /** The speed right after a cold start, as a share of that of a warm worker. */
    static final double COLD_SPEED = 0.12;
    /** How long it takes until a worker that was started cold is as fast as a warm one. */
    static final double WARM_UP_MILLIS = 24_000;
    /** The length of the time window in which what a cold worker is sent is bounded. */
    static final double WINDOW_MILLIS = 1500;
    /** A cold worker may be sent this many times what it can run in the window. */
    static final double MAX_CAPACITY_MULTIPLE = 4;
    private static final double LONG_WARM = 0;

    final long id;
    /** When it was started; 0 for one that has long been warm. */
    final double startedAt;
    private final FleetSimulation simulation;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    /** When tasks were sent, while it was cold, within the last window. */
    private final Queue<Double> sentInWindow = new ArrayDeque<>();
    private int running;
    private double worstRatio;

    private SimulatedWorker(FleetSimulation simulation, long id, double startedAt) {
        this.simulation = simulation;
        this.id = id;
        this.startedAt = startedAt;
    }

    /** A worker that was started long ago. */
    static SimulatedWorker warm(FleetSimulation simulation, long id) {
        return new SimulatedWorker(simulation, id, LONG_WARM);
    }

    /** A worker that is started now. */
    static SimulatedWorker cold(FleetSimulation simulation, long id) {
        return new SimulatedWorker(simulation, id, simulation.now());
    }

    /** Its present speed as a share of that of a warm worker, up to 1. */
    double speed() {
        if (startedAt == LONG_WARM) {
            return 1;
        }
        double age = simulation.now() - startedAt;
        return Math.min(1, COLD_SPEED + (1 - COLD_SPEED) * age / WARM_UP_MILLIS);
    }

    /**
     * Queues a task. Whatever reaches the worker while it is cold is counted, also what is cancelled before
     * it has run.
     *
     * @param start called once a slot has been taken for it; {@link #release} gives the slot back
     */
    void enqueue(Runnable start) {
        if (speed() < 1) {
            countSent();
        }
        queue.add(start);
        startQueued();
    }

    /** The bound is the count that is allowed on average and, for chance, twice its square root and 2. */
    private void countSent() {
        double now = simulation.now();
        sentInWindow.add(now);
        while (sentInWindow.peek() < now - WINDOW_MILLIS) {
            sentInWindow.poll();
        }
        double allowed = MAX_CAPACITY_MULTIPLE * speed() * SLOTS * WINDOW_MILLIS / simulation.meanRunMillis;
        double bound = allowed + 2 * Math.sqrt(allowed) + 2;
        worstRatio = Math.max(worstRatio, sentInWindow.size() / bound);
    }

    /** Starts what is queued while slots are free. */
    void startQueued() {
        while (running < SLOTS && !queue.isEmpty()) {
            running++;
            queue.poll().run();
        }
    }

    /** Gives back the slot of a task that has ended or was cancelled before it started. */
    void release() {
        running--;
    }

    int running() {
        return running;
    }

    int queued() {
        return queue.size();
    }

    int freeSlots() {
        return SLOTS - running;
    }

    /** How many tasks it was sent in the last window in which it was cold. */
    int sentInLastWindow() {
        return sentInWindow.size();
    }

    /** The largest number of tasks sent in any window so far, as a multiple of its bound. */
    double worstRatio() {
        return worstRatio;
    }
}
