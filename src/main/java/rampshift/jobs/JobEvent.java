package rampshift.jobs;

/** The types of events of a periodic job, with their words in the event log. */
public enum JobEvent {
    /** A run has begun. */
    RUN_STARTED("begins"),
    /** A run was missed and is not caught up. */
    RUN_MISSED("missed"),
    /** All tasks of a run are settled. */
    RUN_COMPLETED("over"),
    /** A task was completed. */
    TASK_COMPLETED("done"),
    /** A task may have run and is not retried: it is not idempotent, or has no attempts left. */
    TASK_UNSURE("unsure"),
    /** The last permitted attempt at a task did not run; earlier attempts at an idempotent task may have. */
    TASK_FAILED("given-up");

    private final String word;

    JobEvent(String word) {
        this.word = word;
    }

    /** Returns the word in the event log. */
    public String word() {
        return word;
    }
}
