package rampshift.policy;

import rampshift.time.Moment;

/** Statistics of the last tasks. */
final class TaskHistory {
    /** Values of the last tasks that arrived. */
    final SampleWindow values = new SampleWindow(64);
    /** Their latency objectives, without slack for the running time, in milliseconds. */
    final SampleWindow latencyObjectivesMs = new SampleWindow(64);
    /** Delays from a task's first attempt to its first start, in milliseconds, dated at the sending. */
    final DecayingSamples startDelaysMs = new DecayingSamples(32);
    /** For the last attempts that reached a worker: 0 if rejected as full, else 1. */
    final DecayingSamples accepted = new DecayingSamples(32);
    /** For the last tasks: 1 if it arrived too late to end in time, by the time that was left, else 0. */
    final SampleWindow arrivedLate = new SampleWindow(32);
    /** For the last tasks with a final answer: 1 if it was given up though it had arrived in time, else 0. */
    final SampleWindow givenUpInTime = new SampleWindow(32);

    /** Records a task that arrived, with its value. */
    void onTaskArrived(Task task, double value) {
        values.put(value);
        latencyObjectivesMs.put(task.type.latencyObjective().millis());
    }

    void onAttemptEnded(AttemptOutcome outcome, Moment now) {
        if (outcome.reachedWorker()) {
            accepted.put(now, outcome == AttemptOutcome.FULL ? 0 : 1);
        }
    }

    /** Records a task that was answered by a worker. */
    void onTaskAnswered() {
        givenUpInTime.put(0);
    }

    void onTaskGivenUp(Task task) {
        givenUpInTime.put(task.arrivedLate ? 0 : 1);
    }
}
