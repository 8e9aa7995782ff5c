package rampshift.jobs;

import java.util.List;
import rampshift.time.Span;

/**
 * What is to be done for the whole fleet, as the operator's file states it.
 *
 * @param name its own, and that of its lease
 * @param type the traffic type of its tasks
 * @param every between two runs' beginnings
 * @param at when in each of these, in microseconds from its begin; days begin at midnight UTC
 * @param after the duty whose run's end begins one of this; empty for none, then every and at say when
 * @param objects what {object} stands for, a task each in a run
 * @param rate tasks a second
 * @param catchUp of runs that were missed, so many are made up for
 * @param target of a task, with {object} in it
 * @param body the same
 * @param again whether a task that may have run may go again: its effect is idempotent
 * @param patience how long a task is waited for, at most
 */
public record PeriodicJobSettings(String name, String type, Span every, long at, String after,
        List<String> objects,
        double rate, int catchUp, String target, String body,
        boolean again, Span patience) {
    /** The number of the run that is due by the wall clock, or by how far the duty before it has come. */
    public long due(long wallMicros, JobProgress before) {
        if (!after.isEmpty()) {
            return before.over() ? before.run() : before.run() - 1;
        }
        return Math.floorDiv(wallMicros - at, every.micros());
    }

    int count() {
        return objects.size();
    }
}
