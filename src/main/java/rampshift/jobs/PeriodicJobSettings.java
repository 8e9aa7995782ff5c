package rampshift.jobs;

import java.util.List;
import rampshift.time.Span;

/**
 * The settings of a periodic job of the whole fleet, from a section {@code [[duty]]} of the operator's file.
 *
 * @param name name of the job and of its lease
 * @param trafficType traffic type of its tasks
 * @param interval time between the starts of two runs
 * @param offsetMicros offset of a run from the start of each interval, in microseconds; intervals of a day
 *         begin at midnight UTC
 * @param predecessor the job after each of whose runs this job is due; empty if the interval determines the
 *         runs
 * @param objects the values of {@code {object}}; each run has one task per value
 * @param tasksPerSecond rate at which tasks are submitted
 * @param maxCatchUpRuns how many missed runs are caught up
 * @param targetTemplate request target of a task, may contain {@code {object}}
 * @param bodyTemplate body of a task, may contain {@code {object}}
 * @param idempotent whether a task that may have run may be submitted again
 * @param taskTimeout maximum duration of a task
 */
public record PeriodicJobSettings(String name, String trafficType, Span interval, long offsetMicros,
        String predecessor, List<String> objects, double tasksPerSecond, int maxCatchUpRuns,
        String targetTemplate, String bodyTemplate, boolean idempotent, Span taskTimeout) {

    private static final String PLACEHOLDER = "{object}";

    /**
     * Returns the number of the run that is due.
     *
     * @param wallMicros the wall clock, in microseconds since the epoch
     * @param predecessorProgress progress of the predecessor, if there is one
     */
    public long dueRun(long wallMicros, JobProgress predecessorProgress) {
        if (!predecessor.isEmpty()) {
            return predecessorProgress.complete() ? predecessorProgress.run() : predecessorProgress.run() - 1;
        }
        return Math.floorDiv(wallMicros - offsetMicros, interval.micros());
    }

    /** Returns the request target of the task for an object. */
    public String target(int object) {
        return targetTemplate.replace(PLACEHOLDER, objects.get(object));
    }

    /** Returns the body of the task for an object. */
    public String body(int object) {
        return bodyTemplate.replace(PLACEHOLDER, objects.get(object));
    }

    int objectCount() {
        return objects.size();
    }

    /**
     * Returns these settings with the values that the dispatcher's configuration has for the traffic type.
     */
    public PeriodicJobSettings withTrafficType(boolean isIdempotent, Span timeout) {
        return new PeriodicJobSettings(name, trafficType, interval, offsetMicros, predecessor, objects,
                tasksPerSecond, maxCatchUpRuns, targetTemplate, bodyTemplate, isIdempotent, timeout);
    }
}
