package rampshift.policy;

import rampshift.time.Span;

/** Owns which tasks are rejected, for lack of capacity, time or value, and when their clients may retry. */
record Admission(PolicyContext context, WorkerEstimates estimates, ExpectedValue value,
        Eligibility eligibility) {

    // how likely in time, and the more the tail counts
    private static final double MIN_IN_TIME_PROBABILITY = 0.25;
    // late arrivals: more than that are no retries
    private static final double MAX_LATE_ARRIVALS_PER_REJECTION = 2;

    /**
     * Late by the time left: a retry, or a client of little patience. Where far more come so than were
     * rejected they are no retries; rejected as hopeless, two thirds of the tasks were lost.
     */
    void onTaskArrived(Task task) {
        task.arrivedLate = value.timeLeft(task).micros() < 0;
        if (task.arrivedLate && context.history.arrivedLate.mean(0) > MAX_LATE_ARRIVALS_PER_REJECTION
                * context.history.givenUpInTime.mean(0)) {
            task.firstRequestedAt = context.now();
        }
        context.history.arrivedLate.put(task.arrivedLate ? 1 : 0);
    }

    /** The part of what was sent lately that was rejected as full: how short capacity is. */
    double rejectedAsFullShare() {
        return 1 - estimates.shortTermMean(context.history.accepted, 1);
    }

    /** The capacity that the task takes earns more with others, where it is short. */
    boolean opportunityCostExceedsValue(Task task) {
        double opportunityCost = rejectedAsFullShare() * context.history.values.mean(0)
                * context.runs.knownCostInMeanRuns(task);
        return eligibility.mayReject(task) && opportunityCost > value.ofTask(task);
    }

    /** Whether the task is rejected rather than sent to the worker, at which it is worth this much. */
    boolean rejects(Task task, Worker worker, double attemptValue, boolean isLastSample) {
        return eligibility.mayReject(task) && !(isLastSample && isExploration(task)) && (attemptValue <= 0
                || value.inTimeProbabilityByStarts(task, worker) < MIN_IN_TIME_PROBABILITY
                        + context.settings.lateShareWeight);
    }

    /** Nothing of its type was sent for long: after one long run, only another tells that most are short. */
    private boolean isExploration(Task task) {
        return !task.arrivedLate && context.runs.isUnsentWithin(task, estimates.longTerm(), context.now());
    }

    /**
     * Late by its own hint, and others wait for its slots: a fleet short of capacity did a quarter of its
     * work for late answers. Drawback: where hints tell too little. What may not be rejected goes on.
     */
    boolean holdsSlotsWithoutValue(Task task, Worker worker) {
        return task.runHint.micros() > 0 && task.type.lateValueShare() == 0 && eligibility.mayReject(task)
                && value.timeLeft(task).micros() < 0 && estimates.wait(worker, task.slots).micros() > 0;
    }

    /** When the client of a rejected task may retry; zero where it is not told. */
    Span retryAfter() {
        if (!context.settings.retryAfterHints) {
            return Span.ZERO;
        }
        Span wait = context.runs.mean().times(1 + context.random.next());
        return wait.orShorter(context.settings.maxRetryAfter);
    }
}
