package rampshift.testbed.workers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * An emulated worker: it runs the tasks of its connections on the model of a machine, with the faults that it
 * has now. It is used on the I/O thread alone.
 */
final class EmulatedWorker {
    private static final long MICROS_PER_MILLI = 1000;

    /** What became of a job that was offered to a worker. */
    enum Admission {
        /** It runs or waits, or is over already. */
        ACCEPTED,
        /** There was no room for it. */
        REJECTED,
        /** The worker has crashed under it. */
        CRASHED
    }

    private final WorkerContext context;
    private final EffectGuard effectGuard;
    private final List<Link> links = new ArrayList<>();
    private final List<WorkerConnection> connections = new ArrayList<>();
    private XnioExecutor.Key updateTimer;
    private boolean down;

    /**
     * Creates a worker that is warm and has no links.
     *
     * @param fleet what all workers share
     * @param identity which worker it is
     * @param keys for each type of the plan the keys that it remembers together with others
     * @param random decides whom its faults affect
     */
    EmulatedWorker(FleetContext fleet, WorkerIdentity identity, List<IdempotencyKeys> keys,
            UniformRandomProvider random) {
        context = WorkerContext.create(fleet, identity, random);
        effectGuard =
                new EffectGuard(fleet.plan().types(), keys, fleet.fencingTokens(), context.events());
        context.events().processStarted(EventClock.now(), false);
    }

    /** Opens the link to the next dispatcher. */
    void openLink(Span delay) throws IOException {
        links.add(new Link(links.size(), context.fleet().ioWorker(), delay, this::accept));
    }

    WorkerIdentity identity() {
        return context.identity();
    }

    /** The links to it, by the index of the dispatcher. */
    List<Link> links() {
        return links;
    }

    /** Whether its process has ended and was not restarted. */
    boolean isDown() {
        return down;
    }

    /** The weight that discovery tells: its capacity, reduced while it holds jobs if the plan says so. */
    double weight() {
        double capacity = context.model().nominalCapacity();
        int slots = identity().machine().slots();
        return context.fleet().plan().discovery().liveWeights()
                ? capacity * slots / (slots + context.model().heldJobs())
                : capacity;
    }

    private void accept(Link link, StreamConnection peer) {
        WorkerConnection connection = new WorkerConnection(this, context, link, peer);
        connections.add(connection);
        connection.start();
    }

    /** Forgets a connection that has ended. */
    void remove(WorkerConnection connection) {
        connections.remove(connection);
    }

    /** Starts or ends a fault of this worker. */
    void setFault(FleetPlan.Fault fault, boolean active) {
        WorkerFaults faults = context.faults();
        faults.set(fault, active);
        context.reports().setDelay(faults.reportDelay());
        Moment now = EventClock.now();
        context.model().setSpeedFactor(faults.speedFactor(), now);
        context.model().setPaused(faults.isHanging(), now);
        update();
    }

    /** Ends its process: all jobs are lost, connections are reset and new ones refused. */
    void crash() {
        down = true;
        context.model().restart(EventClock.now());
        // Links reset the connections that they know; release() makes them forget one.
        links.forEach(Link::shutDown);
        for (WorkerConnection connection : new ArrayList<>(connections)) {
            connection.release();
        }
    }

    /** Starts its process again, cold and at the same addresses. */
    void restart() {
        down = false;
        Moment now = EventClock.now();
        context.model().restart(now);
        context.events().processStarted(now, true);
        links.forEach(Link::reopen);
        update();
    }

    /** Offers a job to the machine and starts it if there is a free slot. */
    Admission offer(Job job, Moment now) {
        boolean hadCrashed = context.model().hasCrashed();
        if (context.model().offer(job, now)) {
            update();
            return Admission.ACCEPTED;
        }
        if (context.model().hasCrashed() && !hadCrashed) {
            context.events().crashedByOverload(now);
            crash();
            return Admission.CRASHED;
        }
        return Admission.REJECTED;
    }

    /** The dispatcher has closed the connection of a job; one that has started may run on regardless. */
    void abandon(Job job) {
        context.events().taskAbandoned(EventClock.now(), job);
        if (!job.isStarted() || context.fleet().plan().workers().stopsCancelledTasks()) {
            context.model().cancel(job, EventClock.now());
        }
        update();
    }

    /** Advances the machine, responds to what has happened, and schedules the next update. */
    private void update() {
        Moment now = EventClock.now();
        WorkerModel model = context.model();
        model.advance(now);
        for (Job job = model.pollStarted(); job != null; job = model.pollStarted()) {
            onStarted(job, now);
        }
        for (Job job = model.pollCompleted(); job != null; job = model.pollCompleted()) {
            findConnection(job).ifPresent(connection -> connection.complete(now));
        }
        cancelUpdate();
        Moment next = model.nextUpdate();
        if (next != null) {
            updateTimer = context.fleet().thread().executeAfter(() -> {
                updateTimer = null;
                update();
            }, roundUpToMillis(next.since(now)), TimeUnit.MILLISECONDS);
        }
    }

    private static long roundUpToMillis(Span span) {
        return Math.max(0, span.micros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    private void cancelUpdate() {
        if (updateTimer != null) {
            updateTimer.remove();
            updateTimer = null;
        }
    }

    private Optional<WorkerConnection> findConnection(Job job) {
        return connections.stream().filter(connection -> connection.serves(job)).findFirst();
    }

    private void onStarted(Job job, Moment now) {
        boolean hasEffect = effectGuard.permits(job.task(), now);
        Optional<WorkerConnection> found = findConnection(job);
        if (found.isEmpty()) {
            return;
        }
        WorkerConnection connection = found.get();
        if (!hasEffect) {
            job.skipWork();
        }
        WorkerFaults faults = context.faults();
        if (context.happens(faults.resetAfterTaskProbability())) {
            context.model().cancel(job, now);
            connection.reset();
        } else if (context.happens(faults.errorProbability())) {
            context.model().cancel(job, now);
            connection.fail(now);
        } else if (context.fleet().plan().workers().tellsStart()) {
            connection.sendStarted();
        }
    }

    /** Closes its links and connections. */
    void close() {
        cancelUpdate();
        for (WorkerConnection connection : new ArrayList<>(connections)) {
            connection.close();
        }
        links.forEach(Link::shutDown);
    }
}
