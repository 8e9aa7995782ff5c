package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Receives the decisions of the policy, one for each call of {@link DispatchPolicy#decideNext}. */
public interface Decisions {
    /**
     * Sends an attempt at the task to the worker. A task's attempts are numbered from 0 in the order of these
     * calls.
     *
     * @param timeout time from the start of the attempt after which the host ends it; zero for no timeout
     */
    void forward(long task, long worker, Span timeout);

    /** Cancels an attempt. */
    void cancel(long task, int attempt);

    /** Gives the final answer that the task is rejected and may be retried; a zero span advises no delay. */
    void reject(long task, Span retryAfter);

    /** Gives the final answer that the task failed; it may have run. */
    void fail(long task);

    /** Probes the worker's health and load. */
    void probe(long worker);

    /** Subscribes to changes of the endpoint list. */
    void subscribe();

    /** Calls {@link DispatchPolicy#onTimer} at this moment or soon after. */
    void wakeAt(Moment when);
}
