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
    /** For the last tasks: 1 if its latency objective had passed when it arrived, else 0. */
    final SampleWindow arrivedLate = new SampleWindow(32);
    /**
     * For the last final answers: 1 if the task was given up though it had arrived in time, else 0. Each end
     * of an attempt after or with the final answer of its task adds a 0, too.
     */
    final SampleWindow inTimeArrivalsGivenUp = new SampleWindow(32);

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

    /** Records the end of an attempt whose task has its final answer by now. */
    void onTaskAnswered() {
        inTimeArrivalsGivenUp.put(0);
    }

    void onTaskGivenUp(Task task) {
        inTimeArrivalsGivenUp.put(task.arrivedLate ? 0 : 1);
    }
}
