package rampshift.policy;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Estimates the running times of tasks by the hints of clients and the measured runs of the last tasks. */
final class RunTimes {
    /** Default running time as a share of the time until the task is due; the rest is left for queueing. */
    private static final double DEFAULT_RUN_SHARE = 0.5;

    /** Running times of the last tasks of all types in milliseconds: hinted, else measured. */
    private final SampleWindow recentRunsMs = new SampleWindow(64);
    /** By traffic type, measured running times of the last tasks, in milliseconds. */
    private final SampleWindow[] byType;
    /** By traffic type, the running time that is assumed until one was measured. */
    private final Span[] defaultRuns;
    /** By traffic type, when an attempt was last sent; null where none was. */
    private final Moment[] lastSentAt;
    /** The cached mean, null after a change; it is used many times in one decision. */
    private Span mean;

    RunTimes(List<TrafficType> types) {
        byType = SampleWindow.createAll(types.size(), 32);
        defaultRuns = defaultRuns(types);
        lastSentAt = new Moment[types.size()];
    }

    /**
     * Records the hint of a task that arrived: hints of all tasks count, not only of those that finish here.
     */
    void onTaskArrived(Task task) {
        if (task.runHint.micros() > 0) {
            put(task.runHint);
        }
    }

    /** Records that an attempt at the task was sent. */
    void onSent(Task task, Moment now) {
        lastSentAt[task.typeIndex] = now;
    }

    /** Returns whether no attempt at a task of the same type was sent within the span. */
    boolean isUnsentWithin(Task task, Span span, Moment now) {
        Moment last = lastSentAt[task.typeIndex];
        return last == null || now.since(last).longerThan(span);
    }

    /** Records the measured running time of a task. */
    void onRun(Task task, Span ran) {
        byType[task.typeIndex].put(ran.millis());
        if (task.runHint.micros() == 0) {
            put(ran);
        }
    }

    private void put(Span run) {
        recentRunsMs.put(run.millis());
        mean = null;
    }

    /** Returns the mean running time over all types; until one is known, the shortest default of any type. */
    Span mean() {
        if (mean == null) {
            mean = Span.ofMillis(recentRunsMs.mean(Collections.min(Arrays.asList(defaultRuns)).millis()));
        }
        return mean;
    }

    private static Span[] defaultRuns(List<TrafficType> types) {
        return types.stream().map(RunTimes::defaultRun).toArray(Span[]::new);
    }

    /**
     * Returns the running time that is the default share of the time until the task is due, which is the
     * latency objective plus the slack for that running time; at most the objective.
     */
    private static Span defaultRun(TrafficType type) {
        double objectiveInRuns = 1 / DEFAULT_RUN_SHARE - type.latencySlackFactor();
        return type.latencyObjective().times(1 / Math.max(1, objectiveInRuns));
    }

    /**
     * Returns whether the running time is known by a hint or by runs of the type. Otherwise the expected
     * running time is a default, which must not be used to estimate the speed of workers.
     */
    boolean isKnown(Task task) {
        return task.runHint.micros() > 0 || byType[task.typeIndex].count() > 0;
    }

    /** Returns the expected running time of the task at a mean worker; see {@link #isKnown}. */
    Span expected(Task task) {
        return task.runHint.micros() > 0 ? task.runHint
                : Span.ofMillis(byType[task.typeIndex].mean(defaultRuns[task.typeIndex].millis()));
    }

    /** Returns the last running times of the task's type, in milliseconds. */
    SampleWindow ofType(Task task) {
        return byType[task.typeIndex];
    }

    /** Returns the slots times the time that the task is expected to take, in mean runs of one slot. */
    double costInMeanRuns(Task task) {
        // The ratio of two defaults means nothing: the mean is the shortest of them, so that a new process
        // would reject types of longer defaults.
        double meanRuns = recentRunsMs.count() == 0 && !isKnown(task) ? 1 : expected(task).over(mean());
        return meanRuns * task.slots;
    }

    /**
     * Returns the same cost, with one mean run where the running time is only a default, which may be far
     * longer.
     */
    double knownCostInMeanRuns(Task task) {
        return isKnown(task) ? costInMeanRuns(task) : task.slots;
    }
}
