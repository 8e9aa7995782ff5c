package rampshift.testbed.clients;

import rampshift.time.Span;

/**
 * The arrival of one task at a client.
 *
 * @param at when the task arrives, since the start of the run
 * @param site the index of the client's site in the plan
 * @param type the index of the task's traffic type in the plan
 * @param work how long the task runs on a worker of speed 1
 * @param object the number of the object that the task is about; {@link #NO_OBJECT} if there is none
 */
record Arrival(Span at, int site, int type, Span work, int object) {

    /** Stands for the object of a task that is about none. */
    static final int NO_OBJECT = -1;

    /** Whether the task is about an object. */
    boolean hasObject() {
        return object != NO_OBJECT;
    }
}
