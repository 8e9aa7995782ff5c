package rampshift.workers;

import rampshift.policy.AttemptOutcome;

/** Receives the events of one attempt. {@link #onOutcome} is called once, as the last method. */
public interface AttemptListener {
    /**
     * Returns whether the client still waits for the task. Called before the first byte and before a delayed
     * last byte is written.
     */
    boolean isClientWaiting();

    /** Called when the worker has started the task. */
    void onStarted();

    /**
     * Called when the worker has reported progress.
     *
     * @param share the share of the task that is done, above 0 and at most 1
     */
    void onProgress(double share);

    /** Called when the worker has reported its load. */
    void onLoadReport(long workerNumber, LoadReport load);

    /**
     * Called when the outcome of the attempt is known.
     *
     * @param outcome how the attempt ended
     * @param result the result of the task; null unless the task finished
     */
    void onOutcome(AttemptOutcome outcome, byte[] result);
}
