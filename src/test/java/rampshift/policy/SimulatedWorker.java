package rampshift.policy;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A simulated worker that runs a few tasks at once and queues the rest. After a cold start it is slow, and it
 * compares the number of tasks that it is sent with the allowed number.
 */
final class SimulatedWorker {
    static final int SLOTS = 4;
    /** The speed right after a cold start, as a share of that of a warm worker. */
    static final double COLD_SPEED = 0.12;
    /** How long it takes until a worker that was started cold is as fast as a warm one. */
    static final double WARM_UP_MILLIS = 24_000;
    /** Length of the time window for which the tasks sent to a cold worker are bounded. */
    static final double WINDOW_MILLIS = 1500;
    /** Allowed number of tasks for a cold worker, in multiples of those that it can run in the window. */
    static final double MAX_CAPACITY_MULTIPLE = 4;
    private static final double ALWAYS_WARM = 0;

    final long id;
    /** When it was started; 0 for one that was always warm. */
    final double startedAt;
    private final FleetSimulation simulation;
    private final Queue<Runnable> queue = new ArrayDeque<>();
    /** When tasks were received while it was cold, within the last window. */
    private final Queue<Double> sentInWindow = new ArrayDeque<>();
    private int running;
    private double worstRatio;

    private SimulatedWorker(FleetSimulation simulation, long id, double startedAt) {
        this.simulation = simulation;
        this.id = id;
        this.startedAt = startedAt;
    }

    /** Creates a worker that was started long ago. */
    static SimulatedWorker warm(FleetSimulation simulation, long id) {
        return new SimulatedWorker(simulation, id, ALWAYS_WARM);
    }

    /** Creates a worker that is started now. */
    static SimulatedWorker cold(FleetSimulation simulation, long id) {
        return new SimulatedWorker(simulation, id, simulation.now());
    }

    /** Returns the present speed as a share of that of a warm worker, up to 1. */
    double speed() {
        if (startedAt == ALWAYS_WARM) {
            return 1;
        }
        double age = simulation.now() - startedAt;
        return Math.min(1, COLD_SPEED + (1 - COLD_SPEED) * age / WARM_UP_MILLIS);
    }

    /**
     * Queues a task. All tasks that arrive while the worker is cold are counted, including those cancelled
     * before they run.
     *
     * @param start called once the task has a slot, which {@link #release} frees
     */
    void enqueue(Runnable start) {
        if (speed() < 1) {
            countSent();
        }
        queue.add(start);
        startQueued();
    }

    /**
     * Compares the count with its bound: the allowed mean, plus twice its square root and 2 for random
     * variation.
     */
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

    /** Frees the slot of a task that has ended or was cancelled before it started. */
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

    /** Returns the number of tasks received in the last window in which it was cold. */
    int sentInLastWindow() {
        return sentInWindow.size();
    }

    /** Returns the largest ratio so far of the tasks received in a window to the bound. */
    double worstRatio() {
        return worstRatio;
    }
}
