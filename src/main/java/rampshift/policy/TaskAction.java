package rampshift.policy;

/** The next action for a task. */
sealed interface TaskAction {
    /** Do nothing: attempts continue, or an answer or the endpoint list is awaited. */
    TaskAction WAIT = new Wait();
    /**
     * Give the final answer: rejected where that is allowed, else failed. Every rejection results from this
     * action.
     */
    TaskAction GIVE_UP = new GiveUp(false);
    /** Give the final answer since no sampled worker may be sent to. */
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
