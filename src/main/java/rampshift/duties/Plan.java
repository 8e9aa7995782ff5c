package rampshift.duties;

import rampshift.time.Span;

/**
 * What is to be done for the whole fleet, as the operator's file states it.
 *
 * @param name its own, and that of its lease
 * @param type the traffic type of its tasks
 * @param every between two runs' beginnings
 * @param objects tasks in a run
 * @param rate tasks a second
 * @param catchUp of runs that were missed, so many are made up for
 * @param target of a task, with {object} in it
 * @param body the same
 * @param again whether a task that may have run may go again: its effect is idempotent
 * @param patience how long a task is waited for, at most
 */
public record Plan(String name, String type, Span every, int objects, double rate, int catchUp, String target, String body,
        boolean again, Span patience) { }
