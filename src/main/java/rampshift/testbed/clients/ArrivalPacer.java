package rampshift.testbed.clients;

import java.util.concurrent.locks.LockSupport;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * Passes arrivals to the clients. In an open loop, a separate thread passes each arrival when it is due,
 * independent of earlier tasks; in a closed loop, each task that ends triggers the next. The plan selects
 * one of the two.
 */
final class ArrivalPacer {
    private final FleetPlan plan;
    private final Arrivals arrivals;
    private final XnioIoThread thread;
    private final ClientTasks tasks;
    private Moment startAt;

    /**
     * Creates a pacer.
     *
     * @param plan the length of the run, and the number of tasks in flight of a closed loop
     * @param arrivals the source of arrivals
     * @param thread the I/O thread on which the clients run
     * @param tasks receives the arrivals
     */
    ArrivalPacer(FleetPlan plan, Arrivals arrivals, XnioIoThread thread, ClientTasks tasks) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.thread = thread;
        this.tasks = tasks;
    }

    /** Starts the pacer thread, which begins at the given time. Does not block. */
    @SuppressWarnings("ThreadPriorityCheck") // keeps sends on time on a busy machine
    void start(Moment when) {
        startAt = when;
        Thread pacer = new Thread(this::run, "pacer");
        pacer.setDaemon(true);
        pacer.setPriority(Thread.MAX_PRIORITY);
        pacer.start();
    }

    private void run() {
        if (isClosedLoop()) {
            startClosedLoop();
        } else {
            runOpenLoop();
        }
        waitUntil(startAt.plus(plan.length()));
        thread.execute(tasks::endArrivals);
    }

    private boolean isClosedLoop() {
        return plan.clients().concurrency() > 0;
    }

    private void runOpenLoop() {
        for (Arrival next = arrivals.next(); next != null; next = arrivals.next()) {
            Arrival arrival = next;
            Moment dueAt = startAt.plus(arrival.at());
            waitUntil(dueAt);
            thread.execute(() -> tasks.onArrival(arrival, dueAt));
        }
    }

    private void startClosedLoop() {
        int concurrency = Math.max(1, plan.clients().concurrency() / plan.clients().processes());
        waitUntil(startAt);
        thread.execute(() -> {
            for (int i = 0; i < concurrency; i++) {
                sendNextOfClosedLoop();
            }
        });
    }

    /** Starts the next task of a closed loop after one has ended. Called on the I/O thread. */
    void onTaskEnded() {
        if (isClosedLoop()) {
            thread.execute(this::sendNextOfClosedLoop);
        }
    }

    private void sendNextOfClosedLoop() {
        if (!tasks.haveArrivalsEnded()) {
            Moment now = EventClock.now();
            tasks.onArrival(arrivals.draw(now.since(startAt)), now);
        }
    }

    private static void waitUntil(Moment when) {
        long end = EventClock.nanoTimeOf(when);
        long remaining = end - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = end - System.nanoTime();
        }
    }
}
