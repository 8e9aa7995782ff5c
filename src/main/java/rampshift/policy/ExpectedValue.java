package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Estimates the value of sending a task to a worker: probability of an answer in time, times value, less
 * costs.
 */
record ExpectedValue(PolicyContext context, WorkerEstimates estimates, Eligibility eligibility) {

    /** Minimum value of an attempt at a good candidate, as a share of the task's value. */
    static final double GOOD_VALUE_SHARE = 0.5;
    /** Spread of the error of a predicted run, as a share of that run. */
    private static final double RUN_SPREAD_SHARE = 0.2;
    /** Spread of the error of a predicted wait, as a share of that wait. */
    private static final double WAIT_SPREAD_SHARE = 0.5;
    /**
     * Limit of the cost of queueing where workers report no load, in mean task values for each mean run of
     * one slot.
     */
    private static final double MAX_QUEUE_COST_MEAN_VALUES = 4;
    /** Cost of latency as a share of the task's value, for each latency objective that the answer takes. */
    private static final double LATENCY_COST_SHARE = 0.02;
    /** Number of latency objectives after which the cost of latency no longer grows. */
    private static final double LATENCY_COST_MAX_OBJECTIVES = 5;
    /** Number of runs of a type from which on single runs are used in place of their mean. */
    private static final int MIN_TYPE_RUNS = 3;

    /** Records the start delay of the task's first start where workers report no load. */
    void onAttemptStarted(Attempt attempt) {
        Task task = attempt.task;
        if (!context.settings.reportsLoad && eligibility.mayHedgeAnywhere(task)
                && task.attempts.stream().noneMatch(other -> other != attempt && other.startedAt != null)) {
            // The sample is dated back to the sending, when the queue was as long as the delay shows. Tasks
            // that may not be repeated at every worker are left out: their delays alone made a fleet that was
            // half idle reject 89 in 100 tasks.
            Moment sentAt = task.attempts.get(0).sentAt;
            context.history.startDelaysMs.put(sentAt, context.since(sentAt).millis());
        }
    }

    /** Returns the time until the latency objective, or the deadline if sooner; negative once it is late. */
    Span timeLeft(Task task) {
        Span objective = task.type.latencyObjective()
                .plus(context.runs.expected(task).times(task.type.latencySlackFactor()));
        return task.firstRequestedAt.plus(objective).orEarlier(task.deadline).since(context.now());
    }

    /** Returns the value of an answer in time, reduced for a tenant beyond its quota. */
    double ofTask(Task task) {
        boolean byWork = context.settings.valueScalesWithWork && task.runHint.micros() > 0;
        double work = byWork ? context.runs.expected(task).over(context.runs.mean()) : 1;
        return task.type.priorityWeight() * work * (1 - task.quotaDiscount);
    }

    /** Returns whether the value of an attempt makes its worker a good candidate. */
    boolean isGood(Task task, double attemptValue) {
        return attemptValue >= GOOD_VALUE_SHARE * ofTask(task);
    }

    /** Returns the expected value of sending the task to the worker now, less its costs. */
    double ofAttempt(Task task, Worker worker) {
        Span wait = estimates.wait(worker, task.slots);
        Span run = estimates.run(worker, task);
        Span end = wait.plus(run);
        double inTimeProbability = inTimeProbability(task, wait, run);
        double lateShare =
                task.deadline.since(context.now()).longerThan(end) ? task.type.lateValueShare() : 0;
        double value = ofTask(task);
        return value
                * (successProbability(task, worker)
                        * (inTimeProbability + (1 - inTimeProbability) * lateShare))
                - connectionCost(worker)
                - queueCost(task, wait)
                - LATENCY_COST_SHARE * value
                        * Math.min(LATENCY_COST_MAX_OBJECTIVES, end.over(task.type.latencyObjective()));
    }

    /**
     * Returns how likely an attempt is to be answered: by the worker's recent failures, message loss in its
     * zone, and whether the worker lost an attempt of the same type.
     */
    private double successProbability(Task task, Worker worker) {
        double share = 1 - worker.failureScores.sum() / (worker.failureScores.count() + 2);
        // Messages are lost on the link between zones, which is not the worker's fault. The zone is compared
        // with the own one, so that loss in both makes no difference.
        share *= Math.min(1, reachableShare(worker.zone) / reachableShare(context.settings.zone));
        Moment lost = worker.typesLostAt.get(task.typeIndex);
        return lost == null ? share : share * (1 - Math.exp(-context.since(lost).over(estimates.longTerm())));
    }

    /** Returns the share of recent attempts in the zone that were heard of. */
    private double reachableShare(int zone) {
        return estimates.longTermMean(context.workers.zone(zone).reached, 1);
    }

    /** Returns the cost of crossing to another zone and of opening a connection. */
    private double connectionCost(Worker worker) {
        double crossing = context.isOwnZone(worker) ? 0 : context.settings.crossZoneCost;
        boolean connected = worker.hasIdleConnection(context.now(), context.settings.connectionIdleTimeout);
        double opening = connected ? 0 : context.settings.handshakeCost;
        return context.history.values.mean(1) * (crossing + opening);
    }

    /**
     * Returns the cost of queueing: a task delays all others behind it, the more the longer it runs and the
     * longer the queue is.
     */
    private double queueCost(Task task, Span wait) {
        double share = wait.over(wait.plus(context.runs.mean()));
        if (!context.settings.reportsLoad) {
            // The start delays of recent tasks limit the wait. Estimated by the slots of this dispatcher's
            // attempts alone, it led to the rejection of tasks of several slots while workers were idle.
            double recentDelayMs = estimates.shortTermMean(context.history.startDelaysMs, 0);
            Span recentDelay = wait.orShorter(Span.ofMillis(recentDelayMs));
            Span objective = Span.ofMillis(
                    context.history.latencyObjectivesMs.mean(task.type.latencyObjective().millis()));
            double delayShare = recentDelay.over(recentDelay.plus(objective));
            // The cost stays low while delays are short compared with latency objectives, and then rises
            // steeply.
            share = MAX_QUEUE_COST_MEAN_VALUES * delayShare * delayShare;
        }
        return share * (context.history.values.mean(1) * context.runs.costInMeanRuns(task));
    }

    /**
     * Returns the probability that the task ends in time. For a task that arrived late without a hint, it is
     * the mean over the last running times of its type, since most may be far shorter than their mean.
     */
    private double inTimeProbability(Task task, Span wait, Span run) {
        SampleWindow ran = context.runs.ofType(task);
        Span left = timeLeft(task);
        if (!task.arrivedLate || task.runHint.micros() > 0 || ran.count() < MIN_TYPE_RUNS) {
            return inTimeProbability(left, wait, run);
        }
        double slowdown = run.over(context.runs.expected(task));
        double sum = 0;
        for (int i = 0; i < ran.count(); i++) {
            sum += inTimeProbability(left, wait, Span.ofMillis(ran.get(i) * slowdown));
        }
        return sum / ran.count();
    }

    private double inTimeProbability(Span left, Span wait, Span run) {
        Span spread = run.times(RUN_SPREAD_SHARE).plus(wait.times(WAIT_SPREAD_SHARE))
                .orLonger(context.settings.tick);
        return 1 / inverseLogistic(left.minus(wait).minus(run), spread);
    }

    /** Returns one over the logistic function of the slack, which rises from 0 to 1 within the spread. */
    private static double inverseLogistic(Span slack, Span spread) {
        return 1 + Math.exp(-slack.over(spread));
    }

    /**
     * Returns the probability that the task ends in time. Where workers report no load, it is derived from
     * recent start delays: for a task that may queue at any second worker, from those of all such tasks; for
     * other tasks, from those at workers of the same kind.
     */
    double inTimeProbabilityByStarts(Task task, Worker worker) {
        Span run = estimates.run(worker, task);
        if (context.settings.reportsLoad) {
            return inTimeProbability(task, estimates.wait(worker, task.slots), run);
        }
        DecayingSamples starts = eligibility.mayHedgeAnywhere(task) ? context.history.startDelaysMs
                : worker.kindStatistics.startDelaysMs;
        Span slack = timeLeft(task).minus(run);
        Span spread = run.times(RUN_SPREAD_SHARE).orLonger(context.settings.tick);
        Span decayTime = estimates.shortTerm();
        double weights = WorkerEstimates.BASE_WEIGHT;
        double sum = weights / inverseLogistic(slack, spread);
        for (int i = 0; i < starts.count(); i++) {
            double weight = starts.weight(i, context.now(), decayTime);
            weights += weight;
            sum += weight / inverseLogistic(slack.minus(Span.ofMillis(starts.get(i))), spread);
        }
        return sum / weights;
    }
}
