package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** What the policy decides; {@link DispatchPolicy#decideNext} makes one call on it. */
public interface Decisions {
    /** Send an attempt of the task to the worker; it is numbered in the order of these calls, from 0. */
    void forward(long task, long worker, Span timeout);

    /** Cancel one attempt. */
    void cancel(long task, int attempt);

    /** Final answer: rejected, a retry is harmless; a zero span gives no advice on when. */
    void reject(long task, Span retryAfter);

    /** Final answer: failed, with no promise about its effect. */
    void fail(long task);

    /** Ask for the worker's health and load. */
    void probe(long worker);

    /** Subscribe to changes of the endpoint list. */
    void subscribe();

    /** Call {@link DispatchPolicy#onTimer} at this moment or soon after. */
    void wakeAt(Moment when);
}
