package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A model of a worker's machine. It runs as many jobs as fit, lets others wait and rejects the rest. While it
 * is cold it is slow, and it crashes if it receives too much work then. It has no I/O and no clock: its host
 * passes the time with each call, and polls which jobs have started and which are complete.
 */
final class WorkerModel {
    /** The speed of a cold worker rises all the time; so many updates approximate this. */
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
    /** When the process started; null if that was so long ago that it is warm. */
    private Moment processStart;
    private double usedSlots;
    private double usedMemory;
    private double speedFactor = 1;
    private boolean paused;
    private boolean crashed;

    /**
     * Creates a model of a warm worker without jobs.
     *
     * @param machine its kind of machine
     * @param inOrder whether jobs start in the order in which they were offered, even if a later one fits
     * @param coldStart how it behaves after a restart
     * @param now the present time
     */
    WorkerModel(FleetPlan.Machine machine, boolean inOrder, FleetPlan.SlowStart coldStart, Moment now) {
        this.machine = machine;
        this.inOrder = inOrder;
        this.coldStart = coldStart;
        this.now = now;
        overloadDetector = new OverloadDetector(coldStart);
    }

    /** Offers a job; returns false if there is no room for it, or if it crashed the worker. */
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

    /** Removes a job that was cancelled, whether it waits, runs or is complete. */
    void cancel(Job job, Moment when) {
        advance(when);
        if (running.remove(job)) {
            releaseCapacity(job.task());
        }
        waiting.remove(job);
        completed.remove(job);
        startJobs();
    }

    /** Sets the share of its speed at which it runs jobs from now on. */
    void setSpeedFactor(double factor, Moment when) {
        advance(when);
        speedFactor = factor;
    }

    /** Pauses it, so that it neither runs nor starts jobs, or lets it go on. */
    void setPaused(boolean pause, Moment when) {
        advance(when);
        paused = pause;
        startJobs();
    }

    /** Restarts it: all jobs are lost, and it is cold. */
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

    /** Runs jobs up to a moment, at the speed that holds at its end. */
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

    /** Takes the next of the jobs that have started; null if there is none. */
    Job pollStarted() {
        return started.poll();
    }

    /** Takes the next of the jobs that are complete; null if there is none. */
    Job pollCompleted() {
        return completed.poll();
    }

    /** When it must be advanced next; null if not before the next call that changes it. */
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

    /** Whether it has crashed under too much work, and was not restarted since. */
    boolean hasCrashed() {
        return crashed;
    }

    /** Whether it is not yet at full speed after a restart. */
    boolean isCold() {
        return processStart != null && coldStart.warm().longerThan(now.since(processStart));
    }

    /** The slots that neither running nor waiting jobs need. */
    double freeSlots() {
        double waitingSlots = waiting.stream().mapToDouble(job -> job.task().slots()).sum();
        return Math.max(0, machine.slots() - usedSlots - waitingSlots);
    }

    /** The memory that running jobs leave free, in the unit of the plan. */
    double freeMemory() {
        return Math.max(0, machine.memory() - usedMemory);
    }

    /** The number of waiting jobs. */
    int waitingJobs() {
        return waiting.size();
    }

    /** The number of waiting and running jobs. */
    int heldJobs() {
        return waiting.size() + running.size();
    }

    /** What it does in a second when warm and without faults, relative to one slot of speed 1. */
    double nominalCapacity() {
        return machine.slots() * machine.speed();
    }

    /** The share of its speed that it has when warm, 0 to 1. */
    private double warmth(Moment when) {
        if (processStart == null) {
            return 1;
        }
        double elapsedShare = coldStart.warm().micros() == 0 ? 1
                : Math.min(1, when.since(processStart).over(coldStart.warm()));
        return coldStart.from() + (1 - coldStart.from()) * elapsedShare;
    }

    /** The speed of each slot. */
    private double speed(Moment when) {
        return paused || crashed ? 0 : machine.speed() * warmth(when) * speedFactor;
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

    /** Gives back what a job took, after its removal; sums start anew from zero once nothing runs. */
    private void releaseCapacity(Task task) {
        usedSlots = running.isEmpty() ? 0 : usedSlots - task.slots();
        usedMemory = running.isEmpty() ? 0 : usedMemory - task.memory();
    }

    /** Counts what was received towards an overload, whether there is room for it or not. */
    private void recordReceived(Task task) {
        if (!isCold()) {
            overloadDetector.clear();
            return;
        }
        double capacity = nominalCapacity() * warmth(now);
        if (overloadDetector.isOverloadedBy(now, task.work().micros() * task.slots(), capacity)) {
            crashed = true;
        }
    }
}
