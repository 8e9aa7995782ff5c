package rampshift.testbed.clients;

import rampshift.time.Span;

/**
 * The arrival of one task at a client.
 *
 * @param at the time of arrival since the start of the run
 * @param site the index of the client's site in the plan
 * @param type the index of the task's traffic type in the plan
 * @param work the run time of the task on a worker of speed 1
 * @param object the number of the object in the request path; {@link #NO_OBJECT} if there is none
 */
record Arrival(Span at, int site, int type, Span work, int object) {

    /** The object number of a task without an object. */
    static final int NO_OBJECT = -1;

    /** Returns whether the task has an object. */
    boolean hasObject() {
        return object != NO_OBJECT;
    }
}
