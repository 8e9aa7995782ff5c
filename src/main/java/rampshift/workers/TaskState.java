package rampshift.workers;

/** The state of a task as a worker reports it. */
enum TaskState {
    STARTED, RUNNING, DONE, FAILED,
    /** The worker has not run the task, and won't. */
    RETURNED,
    /** The worker doesn't know what became of the task. */
    LOST,
    /** No state, or one that is not defined. */
    UNKNOWN;

    /** Parses the word for a state; null and other words are {@link #UNKNOWN}. */
    static TaskState parse(String word) {
        if (word == null) {
            return UNKNOWN;
        }
        return switch (word) {
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
