package rampshift.workers;

/** The state of a task as a worker reports it. */
enum TaskState {
    STARTED, RUNNING, DONE, FAILED,
    /** The worker has not run the task, and won't. */
    RETURNED,
    /** The worker doesn't know how the task ended. */
    LOST,
    /** No state, or one that the protocol doesn't define. */
    UNKNOWN;

    /** Parses the name of a state; null and other names yield {@link #UNKNOWN}. */
    static TaskState parse(String name) {
        if (name == null) {
            return UNKNOWN;
        }
        return switch (name) {
            case "started" -> STARTED;
            case "running" -> RUNNING;
            case "done" -> DONE;
            case "failed" -> FAILED;
            case "returned" -> RETURNED;
            case "lost" -> LOST;
            default -> UNKNOWN;
        };
    }
}
