package rampshift.testbed.workers;

/** A task that a worker has received, with its remaining work. */
final class Job {
    private static final long MIN_WORK_MICROS = 1;

    private final Task task;
    /** The remaining work, in microseconds on a machine of speed 1. */
    private double remainingMicros;
    private boolean started;

    Job(Task task) {
        this.task = task;
        remainingMicros = totalMicros();
    }

    private long totalMicros() {
        return Math.max(MIN_WORK_MICROS, task.work().micros());
    }

    Task task() {
        return task;
    }

    /** Marks the job as started. */
    void start() {
        started = true;
    }

    boolean isStarted() {
        return started;
    }

    /** Subtracts work that was done, in microseconds on a machine of speed 1. */
    void run(double micros) {
        remainingMicros -= micros;
    }

    /** Reduces the remaining work to the minimum, for a task without effect. */
    void skipWork() {
        remainingMicros = MIN_WORK_MICROS;
    }

    /** Returns the remaining work, in microseconds on a machine of speed 1. */
    double remainingMicros() {
        return remainingMicros;
    }

    /** Returns whether all work is done. A remainder below one microsecond is a rounding error of timers. */
    boolean isComplete() {
        return remainingMicros < MIN_WORK_MICROS;
    }

    /** Returns the share of the work that is done, 0 to 1. */
    double completedShare() {
        return 1 - remainingMicros / totalMicros();
    }
}
