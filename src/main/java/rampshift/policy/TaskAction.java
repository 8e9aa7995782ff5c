package rampshift.policy;

/** What is to be done about a task now. */
sealed interface TaskAction {
    /** Nothing: its attempts go on, or something is awaited. */
    TaskAction WAIT = new Wait();
    /** It gets its final answer: rejected where that is lawful, else failed. All rejections come by this. */
    TaskAction GIVE_UP = new GiveUp(false);
    /** The same, where none of the workers drawn may be sent to. */
    TaskAction NO_WORKER_PERMITTED = new GiveUp(true);

    /** See {@link #WAIT}. */
    record Wait() implements TaskAction {}

    /** See {@link #GIVE_UP} and {@link #NO_WORKER_PERMITTED}. */
    record GiveUp(boolean noWorkerPermitted) implements TaskAction {}

    /** Check the worker's health; the task is decided again afterwards. */
    record Probe(Worker worker) implements TaskAction {}

    /** Send an attempt to the worker. */
    record Forward(Worker worker) implements TaskAction {}
}
