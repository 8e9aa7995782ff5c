package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The answers of the decision module; one call a pull. */
public interface Decisions {
    /** Send an assignment of the task to the worker; it is numbered in the order of these calls, from 0. */
    void assign(long task, long worker, Span timeout);

    /** Call one assignment off. */
    void cancel(long task, int assignment);

    /** Final answer: bounced, a further try is harmless; a zero span gives no advice. */
    void bounce(long task, Span comeBackAfter);

    /** Final answer: abandoned, with no promise about its effect. */
    void abandon(long task);

    void probe(long worker);

    /** Subscribe to changes of the list of workers. */
    void subscribe();

    /** Call {@code woken} at this moment or soon after. */
    void wakeAt(Moment when);
}
