package rampshift.policy;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The running times of the last tasks, hinted at or measured, and what a task is expected to run by them. */
final class RunTimes {
    /** Share of its time that a task of a type that never ran is taken to run: the rest is for waits. */
    private static final double DEFAULT_RUN_SHARE = 0.5;

    private final SampleWindow recentRunsMs = new SampleWindow(64); // in milliseconds
    private final SampleWindow[] byType;
    /** By traffic type, what one is taken to run that never ran. */
    private final Span[] defaultRuns;
    /** By traffic type, when an attempt at a task of it was last sent; null where none was. */
    private final Moment[] lastSentAt;
    /** Null where not known since the last change: it is asked for many times a decision. */
    private Span mean;

    RunTimes(List<TrafficType> types) {
        byType = SampleWindow.createAll(types.size(), 32);
        defaultRuns = defaultRuns(types);
        lastSentAt = new Moment[types.size()];
    }

    /** A task arrived; a hint of every one tells, not only the few that finish here. */
    void onTaskArrived(Task task) {
        if (task.runHint.micros() > 0) {
            put(task.runHint);
        }
    }

    /** An attempt at a task was sent. */
    void onSent(Task task, Moment now) {
        lastSentAt[task.typeIndex] = now;
    }

    /** Whether nothing of the task's type was sent for so long. */
    boolean isUnsentWithin(Task task, Span span, Moment now) {
        Moment last = lastSentAt[task.typeIndex];
        return last == null || now.since(last).longerThan(span);
    }

    /** A task ran so long. */
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

    /** The mean of all; until one is known, the shortest guess for any type. */
    Span mean() {
        if (mean == null) {
            mean = Span.ofMillis(recentRunsMs.mean(Collections.min(Arrays.asList(defaultRuns)).millis()));
        }
        return mean;
    }

    private static Span[] defaultRuns(List<TrafficType> types) {
        return types.stream().map(RunTimes::defaultRun).toArray(Span[]::new);
    }

    /** A running time that takes the stated share of the time up to its due time, at most the objective. */
    private static Span defaultRun(TrafficType type) {
        double dueShareLeft = 1 / DEFAULT_RUN_SHARE - type.latencySlackFactor();
        return type.latencyObjective().times(1 / Math.max(1, dueShareLeft));
    }

    /**
     * Whether a hint or runs of its type tell what the task runs. Where they don't, what is expected is a
     * guess, of which nothing may be concluded on the speed of workers.
     */
    boolean isKnown(Task task) {
        return task.runHint.micros() > 0 || byType[task.typeIndex].count() > 0;
    }

    /** What the task is expected to run on a middling worker; see {@link #isKnown}. */
    Span expected(Task task) {
        return task.runHint.micros() > 0 ? task.runHint
                : Span.ofMillis(byType[task.typeIndex].mean(defaultRuns[task.typeIndex].millis()));
    }

    /** The last running times of the task's type, in milliseconds. */
    SampleWindow ofType(Task task) {
        return byType[task.typeIndex];
    }

    /** The slots and time that the task is expected to take, in mean runs of one slot. */
    double costInMeanRuns(Task task) {
        // Of two guesses no ratio: the shortest for the mean, a fresh process rejected longer types.
        double meanRuns = recentRunsMs.count() == 0 && !isKnown(task) ? 1 : expected(task).over(mean());
        return meanRuns * task.slots;
    }

    /** The same; a mean run where the running time is a guess, which may be many of them. */
    double knownCostInMeanRuns(Task task) {
        return isKnown(task) ? costInMeanRuns(task) : task.slots;
    }
}
