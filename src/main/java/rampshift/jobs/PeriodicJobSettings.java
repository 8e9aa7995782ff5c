package rampshift.jobs;

import java.util.List;
import rampshift.time.Span;

/**
 * A job of the whole fleet, as a section {@code [[duty]]} of the operator's file states it.
 *
 * @param name its name, and that of its lease
 * @param trafficType traffic type of its tasks
 * @param interval time between the starts of two runs
 * @param offsetMicros when in each interval a run is due, in microseconds; intervals of a day begin at
 *         midnight UTC
 * @param predecessor the job whose complete run makes one of this job due; empty for none, then the interval
 *         decides
 * @param objects what {@code {object}} stands for; one task each in a run
 * @param tasksPerSecond rate at which tasks are submitted
 * @param maxCatchUpRuns how many missed runs are made up for
 * @param targetTemplate request target of a task, with {@code {object}} in it
 * @param bodyTemplate body of a task, with {@code {object}} in it
 * @param idempotent whether a task that may have run may be submitted again
 * @param taskTimeout how long a task is waited for at most
 */
public record PeriodicJobSettings(String name, String trafficType, Span interval, long offsetMicros,
        String predecessor, List<String> objects, double tasksPerSecond, int maxCatchUpRuns,
        String targetTemplate, String bodyTemplate, boolean idempotent, Span taskTimeout) {

    private static final String PLACEHOLDER = "{object}";

    /**
     * The number of the run that is due.
     *
     * @param wallMicros the wall clock, in microseconds since the epoch
     * @param predecessorProgress how far the job before this one has come, if there is one
     */
    public long dueRun(long wallMicros, JobProgress predecessorProgress) {
        if (!predecessor.isEmpty()) {
            return predecessorProgress.complete() ? predecessorProgress.run() : predecessorProgress.run() - 1;
        }
        return Math.floorDiv(wallMicros - offsetMicros, interval.micros());
    }

    /** The request target of the task for an object. */
    public String target(int object) {
        return targetTemplate.replace(PLACEHOLDER, objects.get(object));
    }

    /** The body of the task for an object. */
    public String body(int object) {
        return bodyTemplate.replace(PLACEHOLDER, objects.get(object));
    }

    int objectCount() {
        return objects.size();
    }

    /** These settings with what the dispatcher's configuration says of the traffic type. */
    public PeriodicJobSettings withTrafficType(boolean isIdempotent, Span timeout) {
        return new PeriodicJobSettings(name, trafficType, interval, offsetMicros, predecessor, objects,
                tasksPerSecond, maxCatchUpRuns, targetTemplate, bodyTemplate, isIdempotent, timeout);
    }
}
