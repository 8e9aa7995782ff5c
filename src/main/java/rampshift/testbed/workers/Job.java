package rampshift.testbed.workers;

/** A task in the hands of a worker, with the work that is left to do. */
final class Job {
    private static final long MIN_WORK_MICROS = 1;

    private final Task task;
    /** On a machine of speed 1. */
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

    /** Records that it runs from now on. */
    void start() {
        started = true;
    }

    boolean isStarted() {
        return started;
    }

    /** Takes work off what is left, in microseconds on a machine of speed 1. */
    void run(double micros) {
        remainingMicros -= micros;
    }

    /** Drops nearly all work that is left, as for a task that has no effect. */
    void skipWork() {
        remainingMicros = MIN_WORK_MICROS;
    }

    /** The work that is left, in microseconds on a machine of speed 1. */
    double remainingMicros() {
        return remainingMicros;
    }

    /** Whether all work is done. What is shorter than a microsecond is the rounding of timers. */
    boolean isComplete() {
        return remainingMicros < MIN_WORK_MICROS;
    }

    /** The share of the work that is done, 0 to 1. */
    double completedShare() {
        return 1 - remainingMicros / totalMicros();
    }
}
