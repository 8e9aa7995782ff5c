package rampshift.policy;

import rampshift.time.Moment;

/** What was seen of the last tasks. */
final class TaskHistory {
    /** What they would have earned in time. */
    final SampleWindow values = new SampleWindow(64);
    /** Their latency objectives, their own running time left out, in milliseconds. */
    final SampleWindow latencyObjectivesMs = new SampleWindow(64);
    /** From a task's first attempt to its start, in milliseconds; as old as the queue that it tells of. */
    final DecayingSamples startDelaysMs = new DecayingSamples(32);
    /** Of the attempts that reached a worker: 1 for each taken, 0 for each rejected as full. */
    final DecayingSamples accepted = new DecayingSamples(32);
    /** 1 for each task that came too late to end in time, by the time it had left. */
    final SampleWindow arrivedLate = new SampleWindow(32);
    /** 1 for each task given up though it came in time, 0 for each other that is over. */
    final SampleWindow givenUpInTime = new SampleWindow(32);

    /** A task came that may earn so much. */
    void onTaskArrived(Task task, double value) {
        values.put(value);
        latencyObjectivesMs.put(task.type.latencyObjective().millis());
    }

    void onAttemptEnded(AttemptOutcome outcome, Moment now) {
        if (outcome.reachedWorker()) {
            accepted.put(now, outcome == AttemptOutcome.FULL ? 0 : 1);
        }
    }

    /** A task has its answer from a worker. */
    void onTaskAnswered() {
        givenUpInTime.put(0);
    }

    void onTaskGivenUp(Task task) {
        givenUpInTime.put(task.arrivedLate ? 0 : 1);
    }
}
