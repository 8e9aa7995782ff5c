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
 * An emulated worker. It runs the tasks of its connections on the model of a machine, subject to the faults
 * that are active. Used on the I/O thread only.
 */
final class EmulatedWorker {
    private static final long MICROS_PER_MILLI = 1000;

    /** The result of offering a job to a worker. */
    enum Admission {
        /** The job is queued or running, or has already ended. */
        ACCEPTED,
        /** The worker had no capacity for the job. */
        REJECTED,
        /** The job overloaded the worker, which has crashed. */
        CRASHED
    }

    private final WorkerContext context;
    private final EffectGuard effectGuard;
    private final List<Link> links = new ArrayList<>();
    private final List<WorkerConnection> connections = new ArrayList<>();
    private XnioExecutor.Key updateTimer;
    private boolean down;

    /**
     * Creates a warm worker without links.
     *
     * @param fleet the context that all workers share
     * @param identity the identity of the worker
     * @param keys the idempotency keys by type of the plan, shared with the other workers of the type's group
     * @param random the source of randomness for faults
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

    /** Returns the links to the worker, by the index of the dispatcher. */
    List<Link> links() {
        return links;
    }

    /** Returns whether the worker's process has ended and was not restarted. */
    boolean isDown() {
        return down;
    }

    /** Returns the weight for endpoint lists: the capacity, reduced by current jobs if the plan says so. */
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

    /** Removes a connection that has ended. */
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

    /** Ends the worker's process: all jobs are lost, connections are reset and new ones refused. */
    void crash() {
        down = true;
        context.model().restart(EventClock.now());
        // Links reset only registered connections, so they must shut down before release() unregisters them.
        links.forEach(Link::shutDown);
        for (WorkerConnection connection : new ArrayList<>(connections)) {
            connection.release();
        }
    }

    /** Restarts the worker's process, cold and at the same addresses. */
    void restart() {
        down = false;
        Moment now = EventClock.now();
        context.model().restart(now);
        context.events().processStarted(now, true);
        links.forEach(Link::reopen);
        update();
    }

    /** Offers a job to the machine, which starts it if it fits. */
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

    /** Cancels a job whose connection was closed, if it has not started or the plan stops such jobs. */
    void abandon(Job job) {
        context.events().taskAbandoned(EventClock.now(), job);
        if (!job.isStarted() || context.fleet().plan().workers().stopsCancelledTasks()) {
            context.model().cancel(job, EventClock.now());
        }
        update();
    }

    /** Advances the machine, handles jobs that have started or completed, and schedules the next update. */
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

    /** Closes the worker's links and connections. */
    void close() {
        cancelUpdate();
        for (WorkerConnection connection : new ArrayList<>(connections)) {
            connection.close();
        }
        links.forEach(Link::shutDown);
    }
}
