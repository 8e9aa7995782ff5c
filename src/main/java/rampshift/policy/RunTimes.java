package rampshift.policy;

import java.util.List;
import rampshift.time.Span;

/** The running times of the last tasks, hinted at or measured, and what a task is expected to run by them. */
final class RunTimes {
    private final List<TrafficType> types;
    private final SampleWindow all = new SampleWindow(64); // in milliseconds
    private final SampleWindow[] byType;
    /** Null where not known since the last change: it is asked for many times a decision. */
    private Span mean;

    RunTimes(List<TrafficType> types) {
        this.types = types;
        byType = SampleWindow.rows(types.size(), 32);
    }

    /** A task arrived; a hint of every one tells, not only the few that finish here. */
    void onTaskArrived(Task task) {
        if (task.runHint.micros() > 0) {
            put(task.runHint);
        }
    }

    /** A task ran so long. */
    void onRun(Task task, Span ran) {
        byType[task.typeIndex].put(ran.millis());
        if (task.runHint.micros() == 0) {
            put(ran);
        }
    }

    private void put(Span run) {
        all.put(run.millis());
        mean = null;
    }

    /** The mean of all; the first type's due time until one is known. */
    Span mean() {
        if (mean == null) {
            mean = Span.ofMillis(all.mean(types.get(0).latencyObjective().millis()));
        }
        return mean;
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
                : Span.ofMillis(byType[task.typeIndex].mean(task.type.latencyObjective().millis()));
    }

    /** The last running times of the task's type, in milliseconds. */
    SampleWindow ofType(Task task) {
        return byType[task.typeIndex];
    }

    /** The slots and time that the task is expected to take, in mean runs of one slot. */
    double costInMeanRuns(Task task) {
        return expected(task).over(mean()) * task.slots;
    }
}
