package rampshift.policy;

import rampshift.time.Span;

/** Decides which tasks are rejected for lack of capacity, time or value, and when their clients may retry. */
record Admission(PolicyContext context, WorkerEstimates estimates, ExpectedValue value,
        Eligibility eligibility) {

    /**
     * Probability of ending in time below which a task is rejected. The weight of late tasks in the goal is
     * added to it.
     */
    private static final double MIN_IN_TIME_PROBABILITY = 0.25;
    /**
     * Ratio of tasks that arrived late to tasks that were given up though they had arrived in time. Above it,
     * late arrivals are not taken for retries of given-up tasks.
     */
    private static final double MAX_LATE_ARRIVALS_PER_REJECTION = 2;

    /**
     * Records whether the task arrived when its latency objective had already passed, by the time left until
     * its deadline. Such a task is a retry, or its client has a short timeout. If far more tasks arrive late
     * than were given up, they can't be retries, and the objective counts from the arrival of the task.
     * Treated as hopeless retries, two thirds of all tasks were rejected.
     */
    void onTaskArrived(Task task) {
        task.arrivedLate = value.timeLeft(task).micros() < 0;
        if (task.arrivedLate && context.history.arrivedLate.mean(0) > MAX_LATE_ARRIVALS_PER_REJECTION
                * context.history.inTimeArrivalsGivenUp.mean(0)) {
            task.firstRequestedAt = context.now();
        }
        context.history.arrivedLate.put(task.arrivedLate ? 1 : 0);
    }

    /**
     * Returns the share of recent attempts that were rejected as full, which measures the lack of capacity.
     */
    double rejectedAsFullShare() {
        return 1 - estimates.shortTermMean(context.history.accepted, 1);
    }

    /**
     * Returns whether the task may be rejected and other tasks would earn more with the capacity that it
     * takes. The opportunity cost rises with the share of attempts rejected as full.
     */
    boolean opportunityCostExceedsValue(Task task) {
        double opportunityCost = rejectedAsFullShare() * context.history.values.mean(0)
                * context.runs.knownCostInMeanRuns(task);
        return eligibility.mayReject(task) && opportunityCost > value.ofTask(task);
    }

    /**
     * Returns whether the task is rejected rather than sent to the worker.
     *
     * @param bestScore the score of the best candidate, see {@link Candidate}; not above zero where every
     * attempt costs more than it earns
     */
    boolean rejects(Task task, Worker worker, double bestScore, boolean isLastSample) {
        return eligibility.mayReject(task) && !(isLastSample && isExploration(task)) && (bestScore <= 0
                || value.inTimeProbabilityByStarts(task, worker) < MIN_IN_TIME_PROBABILITY
                        + context.settings.lateShareWeight);
    }

    /**
     * Returns whether the task is sent to measure its type's running time, although it may be late: it
     * arrived in time, and no task of the type was sent for a long time. A type rejected because of one long
     * run would otherwise never run again, and its shorter runs would not be measured.
     */
    private boolean isExploration(Task task) {
        return !task.arrivedLate && context.runs.isUnsentWithin(task, estimates.longTerm(), context.now());
    }

    /**
     * Returns whether the task is late, earns nothing late, and holds slots that others wait for. Without
     * this rule a fleet short of capacity spent a quarter of its work on late answers. It applies only to
     * tasks that have a hint of their running time and may be rejected. Drawback: it cancels tasks whose hint
     * is too low.
     */
    boolean holdsSlotsWithoutValue(Task task, Worker worker) {
        return task.runHint.micros() > 0 && task.type.lateValueShare() == 0 && eligibility.mayReject(task)
                && value.timeLeft(task).micros() < 0 && estimates.wait(worker, task.slots).micros() > 0;
    }

    /** Returns how long the client of a rejected task should wait before a retry; zero for no advice. */
    Span retryAfter() {
        if (!context.settings.retryAfterHints) {
            return Span.ZERO;
        }
        Span wait = context.runs.mean().times(1 + context.random.next());
        return wait.orShorter(context.settings.maxRetryAfter);
    }
}
