package rampshift.workers;

import rampshift.policy.AttemptOutcome;

/** Receives the events of one attempt. {@link #onOutcome} comes once, and last. */
public interface AttemptListener {
    /**
     * Whether the client still waits for the task: asked before the first byte and before a delayed last
     * byte.
     */
    boolean isStillWanted();

    /** The worker has started the task. */
    void onStarted();

    /**
     * The worker has reported progress.
     *
     * @param share the share of the task that is done, over 0 and up to 1
     */
    void onProgress(double share);

    /** The worker has reported its load. */
    void onLoadReport(long workerNumber, LoadReport load);

    /**
     * The attempt has ended.
     *
     * @param outcome how it ended
     * @param result the result of the task; null unless the task finished
     */
    void onOutcome(AttemptOutcome outcome, byte[] result);
}
