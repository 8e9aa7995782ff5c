package rampshift.testbed.clients;

import java.util.concurrent.locks.LockSupport;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * Hands arrivals to the clients when they are due, on a thread of its own: in an open loop whatever became of
 * the tasks before, or in a closed loop each time one has ended, as the plan has it.
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
     * @param plan how long arrivals last, and how many tasks a closed loop has in flight
     * @param arrivals what arrives
     * @param thread the I/O thread on which the clients run
     * @param tasks receives the arrivals
     */
    ArrivalPacer(FleetPlan plan, Arrivals arrivals, XnioIoThread thread, ClientTasks tasks) {
        this.plan = plan;
        this.arrivals = arrivals;
        this.thread = thread;
        this.tasks = tasks;
    }

    /** Begins at the given time. Returns at once. */
    @SuppressWarnings("ThreadPriorityCheck") // requests leave on time also on a busy machine
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

    /** A task has ended: in a closed loop the next one follows. Called on the I/O thread. */
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
