package rampshift.jobs;

/** What can happen to a periodic job, with the word that stands for it in the event log. */
public enum JobEvent {
    /** A run has begun. */
    RUN_STARTED("begins"),
    /** A run was not made, and is not made up for. */
    RUN_MISSED("missed"),
    /** All tasks of a run are settled. */
    RUN_COMPLETED("over"),
    /** A task was completed. */
    TASK_COMPLETED("done"),
    /** A task may have run, and must not run twice. */
    TASK_UNSURE("unsure"),
    /** A task never ran, however often it was submitted. */
    TASK_FAILED("given-up");

    private final String word;

    JobEvent(String word) {
        this.word = word;
    }

    /** The word in the event log. */
    public String word() {
        return word;
    }
}
