package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A model of a worker's machine. It runs as many jobs as fit, queues others and rejects the rest. A cold
 * worker is slow, and crashes if it receives too much work. The model has no I/O and no clock: its caller
 * passes the time with each call, and polls for jobs that have started and jobs that are complete.
 */
final class WorkerModel {
    /** The number of updates that approximate the continuous rise of a cold worker's speed. */
    private static final int UPDATES_WHILE_COLD = 200;

    private final FleetPlan.Machine machine;
    private final boolean inOrder;
    private final FleetPlan.SlowStart coldStart;
    private final OverloadDetector overloadDetector;
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Job> started = new ArrayDeque<>();
    private final ArrayDeque<Job> completed = new ArrayDeque<>();
    private Moment now;
    /** When the process was last restarted; null if it never was, and the worker has been warm throughout. */
    private Moment processStart;
    private double usedSlots;
    private double usedMemory;
    private double speedFactor = 1;
    private boolean paused;
    private boolean crashed;

    /**
     * Creates a model of a warm worker without jobs.
     *
     * @param machine the kind of machine
     * @param inOrder whether jobs start in the order in which they were offered, even if a later one fits
     * @param coldStart the speed and overload limit after a restart
     * @param now the present time
     */
    WorkerModel(FleetPlan.Machine machine, boolean inOrder, FleetPlan.SlowStart coldStart, Moment now) {
        this.machine = machine;
        this.inOrder = inOrder;
        this.coldStart = coldStart;
        this.now = now;
        overloadDetector = new OverloadDetector(coldStart);
    }

    /** Offers a job; returns false if there is no capacity for it, or if the worker has crashed. */
    boolean offer(Job job, Moment when) {
        advance(when);
        recordReceived(job.task());
        boolean queueIsFull = waiting.size() >= machine.waiting() && !fits(job.task());
        if (crashed || queueIsFull || job.task().memory() > machine.memory()) {
            return false;
        }
        waiting.add(job);
        startJobs();
        return true;
    }

    /** Cancels a job, whether it is queued, running or complete. */
    void cancel(Job job, Moment when) {
        advance(when);
        if (running.remove(job)) {
            releaseCapacity(job.task());
        }
        waiting.remove(job);
        completed.remove(job);
        startJobs();
    }

    /** Sets the factor by which the machine's speed is multiplied from now on. */
    void setSpeedFactor(double factor, Moment when) {
        advance(when);
        speedFactor = factor;
    }

    /** Pauses the machine, so that it neither runs nor starts jobs, or resumes it. */
    void setPaused(boolean pause, Moment when) {
        advance(when);
        paused = pause;
        startJobs();
    }

    /** Restarts the machine: all jobs are lost, and the machine is cold. */
    void restart(Moment when) {
        running.clear();
        waiting.clear();
        started.clear();
        completed.clear();
        overloadDetector.clear();
        usedSlots = 0;
        usedMemory = 0;
        crashed = false;
        now = when;
        processStart = when;
    }

    /** Runs jobs up to a moment, with the speed at that moment applied to the whole interval. */
    void advance(Moment when) {
        if (!now.before(when)) {
            return;
        }
        double micros = when.since(now).micros() * speed(when);
        now = when;
        if (micros <= 0) {
            return;
        }
        for (Iterator<Job> jobs = running.iterator(); jobs.hasNext();) {
            Job job = jobs.next();
            job.run(micros);
            if (job.isComplete()) {
                jobs.remove();
                releaseCapacity(job.task());
                completed.add(job);
            }
        }
        startJobs();
    }

    /** Removes and returns the next job that has started, or null if there is none. */
    Job pollStarted() {
        return started.poll();
    }

    /** Removes and returns the next job that is complete, or null if there is none. */
    Job pollCompleted() {
        return completed.poll();
    }

    /** Returns when to call {@link #advance} next, or null if nothing changes before another call. */
    Moment nextUpdate() {
        double speed = speed(now);
        if (running.isEmpty() || speed <= 0) {
            return null;
        }
        double leastMicros = Double.MAX_VALUE;
        for (Job job : running) {
            leastMicros = Math.min(leastMicros, job.remainingMicros());
        }
        Moment nextCompletion = now.plus(new Span((long) Math.ceil(leastMicros / speed)));
        return isCold() ? nextCompletion.orEarlier(now.plus(coldStart.warm().times(1.0 / UPDATES_WHILE_COLD)))
                : nextCompletion;
    }

    /** Returns whether the worker has crashed from overload and was not restarted since. */
    boolean hasCrashed() {
        return crashed;
    }

    /** Returns whether the worker is still below full speed after a restart. */
    boolean isCold() {
        return processStart != null && coldStart.warm().longerThan(now.since(processStart));
    }

    /** Returns the number of slots that neither running nor queued jobs need. */
    double freeSlots() {
        double waitingSlots = waiting.stream().mapToDouble(job -> job.task().slots()).sum();
        return Math.max(0, machine.slots() - usedSlots - waitingSlots);
    }

    /** Returns the memory that running jobs do not use, in the unit of the plan. */
    double freeMemory() {
        return Math.max(0, machine.memory() - usedMemory);
    }

    /** Returns the number of queued jobs. */
    int waitingJobs() {
        return waiting.size();
    }

    /** Returns the number of queued and running jobs. */
    int heldJobs() {
        return waiting.size() + running.size();
    }

    /** Returns the capacity when warm and without faults, relative to one slot of speed 1. */
    double nominalCapacity() {
        return machine.slots() * machine.speed();
    }

    /** Returns the speed relative to that of a warm worker, 0 to 1. */
    private double relativeSpeed(Moment when) {
        if (processStart == null) {
            return 1;
        }
        double elapsedShare = coldStart.warm().micros() == 0 ? 1
                : Math.min(1, when.since(processStart).over(coldStart.warm()));
        return coldStart.from() + (1 - coldStart.from()) * elapsedShare;
    }

    /** Returns the speed of each slot. */
    private double speed(Moment when) {
        return paused || crashed ? 0 : machine.speed() * relativeSpeed(when) * speedFactor;
    }

    private boolean fits(Task task) {
        boolean isIdle = usedSlots == 0 && running.isEmpty();
        return isIdle || (usedSlots + task.slots() <= machine.slots()
                && usedMemory + task.memory() <= machine.memory());
    }

    private void startJobs() {
        if (paused || crashed) {
            return;
        }
        for (Iterator<Job> jobs = waiting.iterator(); jobs.hasNext();) {
            Job job = jobs.next();
            if (fits(job.task())) {
                jobs.remove();
                usedSlots += job.task().slots();
                usedMemory += job.task().memory();
                job.start();
                running.add(job);
                started.add(job);
            } else if (inOrder) {
                return;
            }
        }
    }

    /** Releases the slots and memory of a removed job; an idle machine resets both sums against rounding. */
    private void releaseCapacity(Task task) {
        usedSlots = running.isEmpty() ? 0 : usedSlots - task.slots();
        usedMemory = running.isEmpty() ? 0 : usedMemory - task.memory();
    }

    /** Adds a task to the load of a cold worker, whether it is then rejected or not; may crash the worker. */
    private void recordReceived(Task task) {
        if (!isCold()) {
            overloadDetector.clear();
            return;
        }
        double capacity = nominalCapacity() * relativeSpeed(now);
        if (overloadDetector.isOverloadedBy(now, task.work().micros() * task.slots(), capacity)) {
            crashed = true;
        }
    }
}
